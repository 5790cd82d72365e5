#pragma once

#include "standins/standin_store.h"
#include "store/platform_store.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace ragworthinge {

/// In-memory `platform_store` for tests: synchronous, with fault injection, a manual clock for leases, and hooks that
/// run before and after calls.
class fake_store final : public platform_store {
public:
    struct fault_switches {
        bool down = false;           ///< Every call fails with unavailable.
        int lose_replies = 0;        ///< The next N writes take effect and report outcome_unknown.
        int lose_requests = 0;       ///< The next N writes have no effect and report outcome_unknown.
        bool refuse_budget = false;  ///< Every call fails with budget_exhausted.
        int malformed_responses = 0; ///< The next N reads fail with protocol_violation.
    };

    /// Function that runs before or after a call takes effect. The call is "get", "get_prefix", "commit",
    /// "grant_lease", "keep_lease_alive" or "watch_prefix". Calls made by a hook run no hooks.
    using hook = std::function<void(std::string_view call)>;

    fault_switches faults;
    hook before_call;
    hook after_call;
    time_point now; ///< Current time for the expiry of leases; set by the test.

    /// Makes reads return the current keys and values until `thaw_reads`. Transactions still use the latest state.
    void freeze_reads() { m_frozen_store = m_store; }
    void thaw_reads() { m_frozen_store.reset(); }

    /// Discards the history before the current revision, so that watches from older revisions fail with not_found.
    void compact();

    /// A copy of the store, and the return of the store with it: what was written since is lost, leases too, revisions
    /// are given out again and a new era begins.
    standins::standin_store copy() const { return m_store; }
    void come_back_from(const standins::standin_store& copy);

    /// Ends all leases immediately, regardless of their remaining time, and removes their keys.
    void expire_leases_early() { m_store.expire_all_leases(); }

    /// Access on behalf of another client: runs no hooks, injects no faults and is not counted.
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    std::optional<std::string> value(const std::string& key) const;
    std::int64_t revision() const noexcept { return m_store.revision(); }
    store_position position() const noexcept { return {.era = m_era, .revision = m_store.revision()}; }

    int calls() const noexcept { return m_calls; }
    int commits() const noexcept { return m_commits; }

    result<std::optional<store_entry>> get(const std::string& key) override;
    result<store_range> get_prefix(const std::string& prefix) override;
    result<store_transaction_result> commit(const store_transaction& transaction) override;
    result<std::int64_t> grant_lease(std::chrono::seconds ttl) override;
    result<std::chrono::seconds> keep_lease_alive(std::int64_t lease) override;
    /// Delivers all changes so far, including those made by the callback, and returns without waiting for more.
    result<store_position> watch_prefix(const std::string& prefix, store_position from,
                                        const std::function<bool(const std::vector<store_event>&)>& on_events) override;

private:
    result<void> start_read(std::string_view call);
    result<void> start_write(std::string_view call);
    result<void> end_write(std::string_view call);
    void run_hook(const hook& chosen, std::string_view call);
    store_transaction_result apply(const store_transaction& transaction);

    store_event event_of(const standins::stored_event& event) const;

    standins::standin_store m_store;
    store_era m_era{1};
    std::optional<standins::standin_store> m_frozen_store;
    int m_calls = 0;
    int m_commits = 0;
    bool m_in_hook = false;
};

} // namespace ragworthinge
