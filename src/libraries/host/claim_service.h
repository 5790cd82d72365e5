#pragma once

#include "net/fiber_event.h"
#include "net/timer_service.h"
#include "requests/claim_manager.h"

#include <chrono>
#include <unordered_map>

namespace ragworthinge {

class fiber_runtime;
class platform_store;

/// Default time for which a claim is kept. Longer than a weekend, so that a queue redriven on Monday morning after a
/// failure on Friday evening still finds its claims.
inline constexpr std::chrono::hours default_claim_retention{72};

/// Commits the claims of this host to the store and lets the fiber of each request wait for its decision.
class claim_service {
public:
    claim_service(fiber_runtime& runtime, timer_service& timers, platform_store& store, claim_manager_options options,
                  std::chrono::seconds retention = default_claim_retention);
    claim_service(const claim_service&) = delete;
    claim_service& operator=(const claim_service&) = delete;
    ~claim_service() = default;

    struct claim {
        claim_ticket ticket = 0;
        claim_decision decision;
    };

    /// Waits for the decision on the request.
    claim acquire(const claim_request& request);

    /// Records the end of a request that got `proceed`; see claim_manager.
    void complete(claim_ticket ticket, stored_response response);
    void complete_unknown(claim_ticket ticket);
    void release(claim_ticket ticket);

    /// Claims and ends that the store has not confirmed yet.
    std::size_t backlog() const noexcept { return m_book.backlog(); }
    const claim_statistics& statistics() const noexcept { return m_book.statistics(); }

private:
    struct waiting_claim {
        fiber_event decision_ready;
        claim_decision decision;
    };

    void work();
    void start_work();
    void renew_lease();
    void deliver();

    fiber_runtime& m_runtime;
    platform_store& m_store;
    std::chrono::seconds m_retention;
    claim_manager m_book;
    std::unordered_map<claim_ticket, waiting_claim*> m_waiting;
    bool m_working = false;
    bool m_renewing_lease = false;
    timer_subscription m_tick;
};

} // namespace ragworthinge
