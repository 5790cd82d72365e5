#pragma once

#include "base/identifiers.h"
#include "base/result.h"
#include "base/time.h"
#include "requests/claim_decision.h"
#include "requests/claim_record.h"
#include "store/platform_store.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ragworthinge {

/// Handle of one attempt of a claimed request on this host.
using claim_ticket = std::uint64_t;

/// One instant on both clocks. Intervals use the monotonic clock, records shared between hosts use the wall clock.
struct claim_time {
    time_point now;
    wall_time wall;
};

/// A request that must be claimed before it is dispatched.
struct claim_request {
    account_id account;
    std::string idempotency_key;
    std::string fingerprint; ///< See `request_fingerprint`.
    time_point deadline;     ///< The caller's deadline; the request is not dispatched after it.
};

/// Options of `claim_manager`.
struct claim_manager_options {
    host_id host;
    incarnation run = 0; ///< Distinguishes this process from earlier ones with the same host id.

    /// Minimum time between transactions. With 12 hosts this gives at most 240 transactions/s, which the store can
    /// handle.
    duration batch_interval = std::chrono::milliseconds(50);
    std::size_t max_operations = 100;                 ///< Maximum per transaction; the store rejects more than 128.
    std::size_t max_batch_bytes = 512ULL * 1024;      ///< Stays below the store's limit of 1 MB after base64 encoding.
    duration claim_timeout = std::chrono::seconds(1); ///< Longest wait for a claim while the store is slow or down.
    duration max_backoff = std::chrono::milliseconds(500);

    /// Time after the deadline at which a claim without a recorded result counts as abandoned. Covers clock differences
    /// between hosts and an upstream that finishes late.
    duration grace_period = std::chrono::seconds(5);
    duration lease_renewal = std::chrono::hours(1); ///< Age at which a new retention lease is requested.
};

/// Counters since the start of the process.
struct claim_statistics {
    std::uint64_t transactions = 0;
    std::uint64_t operations = 0;
    std::uint64_t failed_conditions = 0;
    std::uint64_t store_errors = 0;
    std::uint64_t malformed_records = 0;
};

/// Batches the creation, completion and removal of claims into store transactions and interprets the results.
///
/// The host process commits what `next_batch` returns, passes the result to `on_result`, and delivers what
/// `take_decisions` returns to the waiting requests. At most one transaction is in flight. A transaction whose outcome
/// is unknown is sent again: it requires that the claim does not exist, so if the first one took effect the failure
/// branch reads the records back, and their tags show whether this attempt wrote them.
///
/// A claim is never transferred to another host. This rules out duplicate runs even with arbitrary clock errors; in
/// return, a claim whose host crashed ends as `unknown` even if the request was not dispatched.
class claim_manager {
public:
    explicit claim_manager(claim_manager_options options) : m_options(std::move(options)) {}

    /// A transaction to commit.
    struct claim_batch {
        std::uint64_t id = 0;
        store_transaction transaction;
    };

    /// Result of `begin`. If `decision` is absent, it is returned later by `take_decisions`.
    struct begin_result {
        claim_ticket ticket = 0;
        std::optional<claim_decision> decision;
    };

    struct decision_ready {
        claim_ticket ticket = 0;
        claim_decision decision;
    };

    begin_result begin(const claim_request& request, claim_time time);

    /// Records the upstream's response. After `proceed`, exactly one of `complete`, `complete_unknown` and `release` is
    /// called, once per ticket.
    void complete(claim_ticket ticket, stored_response response);

    /// Records that the upstream gave no complete response after the dispatch.
    void complete_unknown(claim_ticket ticket);

    /// Removes the claim of a request that was not dispatched and will not be.
    void release(claim_ticket ticket);

    /// Returns the next transaction, or nullopt while one is in flight, nothing is queued, no lease is known or the
    /// interval since the last transaction has not passed.
    std::optional<claim_batch> next_batch(claim_time time);

    /// Handles the result of the transaction with this id. Results for other ids are ignored.
    void on_result(std::uint64_t id, const result<store_transaction_result>& outcome, claim_time time);

    /// Returns all decisions made since the last call, including those for claims that timed out or passed their
    /// deadline.
    std::vector<decision_ready> take_decisions(claim_time time);

    /// Returns the time at which to call `next_batch` and `take_decisions` again if nothing else happens before.
    std::optional<time_point> next_wakeup() const;

    /// Returns whether the host should obtain a store lease for the retention period and pass it to `set_lease`.
    bool needs_lease(time_point now) const;
    void set_lease(std::int64_t lease, time_point granted_at);

    /// Number of claims, results and removals that wait for the store.
    std::size_t backlog() const noexcept { return m_retry.size() + m_queue.size() + m_in_flight.size(); }

    const claim_statistics& statistics() const noexcept { return m_statistics; }

private:
    enum class phase {
        claiming,  ///< To be created; condition: the key does not exist.
        granted,   ///< The request may run; nothing to write.
        finishing, ///< To be overwritten with its result; condition: the revision of the record is unchanged.
        releasing, ///< To be removed; condition: the revision of the record is unchanged.
        probing    ///< Given up with an unknown write outcome; to be read, then removed if the tag matches.
    };

    struct entry {
        claim_ticket ticket = 0;
        phase step = phase::claiming;
        claim_record record;
        time_point deadline;
        time_point give_up_at;
        std::int64_t revision = 0;     ///< Store revision of the record; zero until known.
        bool given_up = false;         ///< The caller has been told that the request did not run.
        bool possibly_written = false; ///< An earlier transaction with this claim had an unknown outcome.
    };

    using entries = std::map<std::string, entry>;
    using keys = std::deque<std::string>;

    entry make_claim(claim_ticket ticket, const claim_request& request, claim_time time) const;
    void insert(const std::string& key, entry claim);
    static bool is_withdrawn(const entry& existing_claim);
    static claim_decision decide_from_entry(const entry& existing_claim, const claim_request& request, claim_time time);
    claim_decision decide_from_stored(const std::string& key, const entry& claim, const result<claim_record>& found,
                                      claim_time time);
    void decide(entry& claim, claim_decision decision);
    entry& granted_entry(claim_ticket ticket);
    void enqueue(claim_ticket ticket, phase step);
    store_transaction take_batch();
    std::size_t add_operations(store_transaction& transaction, const std::string& key, const entry& claim) const;
    void handle_result(const std::string& key, const store_transaction_result& outcome, const store_entry* found,
                       claim_time time);
    void handle_success(const std::string& key, std::int64_t revision, claim_time time);
    void handle_conflict(const std::string& key, const store_entry* found, claim_time time);
    void handle_probe(const std::string& key, const store_entry* found);
    void grant(entry& claim, const std::string& key, std::int64_t revision, claim_time time);
    void on_error(const keys& batch, error_code code, time_point now);
    void on_claim_error(const std::string& key, error_code code);
    void give_up(entry& claim, std::string detail);
    void give_up_expired(time_point now);
    void remove(const std::string& key);

    claim_manager_options m_options;
    claim_statistics m_statistics;
    entries m_entries;          ///< By store key.
    entries m_waiting_attempts; ///< By store key; wait until a withdrawn claim of the same key is removed.
    std::map<claim_ticket, std::string> m_keys_by_ticket;
    keys m_queue;     ///< Keys that wait for their first transaction, in order of arrival.
    keys m_retry;     ///< Keys of an earlier transaction to send again, before and apart from m_queue; see take_batch.
    keys m_in_flight; ///< Keys in the transaction with id m_transaction_id.
    std::vector<decision_ready> m_decisions;
    claim_ticket m_last_ticket = 0;
    std::uint64_t m_transaction_id = 0;
    std::optional<time_point> m_next_transaction_at;
    unsigned m_consecutive_errors = 0;
    std::int64_t m_lease = 0;
    time_point m_lease_granted_at;
};

} // namespace ragworthinge
