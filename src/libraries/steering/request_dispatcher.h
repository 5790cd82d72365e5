#pragma once

#include "steering/account_limiter.h"
#include "steering/crash_register.h"
#include "steering/fleet_membership.h"
#include "steering/fleet_retry_budget.h"
#include "steering/fleet_state.h"
#include "steering/placement_policy.h"
#include "steering/waiting_line.h"
#include "steering/work_estimate.h"

#include <functional>
#include <map>
#include <memory>

namespace ragworthinge {

struct request_dispatcher_options {
    placement_options placement;
    /// Shortest Retry-After, so that a refused caller does not return into the same moment.
    duration shortest_return = std::chrono::milliseconds(100);
    /// Part of the slots that become free that is left to callers that return after a refusal; the rest is for new
    /// requests.
    double returning_part = 0.25;
    /// Longest Retry-After: overload ends, and callers do not wait longer. Source: a third of the longest time limit on
    /// the users' sheets, 12 s.
    duration longest_return = std::chrono::seconds(4);
};

/// A request that asks for an upstream.
struct dispatch_request {
    placement_request placement;
    int priority = 0;
    account_id account;
    time_point target_at;
};

/// What a request gets.
struct dispatch_decision {
    enum class kind { send, wait, refuse };
    kind type = kind::refuse;
    placement placed;          ///< For send.
    duration retry_after{0};   ///< For refuse: when a return should be served.
    duration expected_wait{0}; ///< For wait and refuse.
    const char* reason = "";   ///< For refuse.
};

/// Decides at once whether a request is sent, waits or is refused, and gives freed slots to waiting requests.
/// A request that cannot be answered in time is refused when it arrives instead of when its time has passed.
class request_dispatcher {
public:
    /// Called when a waiting request gets an upstream or can no longer be answered in time.
    using outcome_handler = std::function<void(waiting_ticket, const dispatch_decision&)>;

    request_dispatcher(request_dispatcher_options options, fleet_state& fleet, fleet_membership& membership);

    /// Decides for a new request. For `wait` the caller must call `enqueue` or drop the request.
    dispatch_decision decide(const dispatch_request& request, time_point now);

    void enqueue(waiting_ticket ticket, dispatch_request request, time_point now, outcome_handler on_outcome);

    /// The caller left.
    bool cancel(waiting_ticket ticket);

    /// Gives what is free to waiting requests and refuses those that can no longer be served. Called after each end of
    /// an attempt, each report and periodically.
    void serve_waiting(time_point now);

    std::size_t waiting() const noexcept { return m_waiting.size(); }

    placement_policy& placements() noexcept { return m_placements; }
    work_estimate& work() noexcept { return m_work; }

private:
    struct waiting_entry {
        dispatch_request request;
        outcome_handler on_outcome;
    };

    double own_slots(const service_id& service) const;
    duration expected_line_wait(const dispatch_request& request) const;
    dispatch_decision refuse(const char* reason, duration retry_after) const;

    /// Refuses for lack of room and gives the caller a time of its own to return.
    dispatch_decision refuse_for_room(const char* reason, const dispatch_request& request, duration earliest,
                                      time_point now);

    request_dispatcher_options m_options;
    fleet_state& m_fleet;
    fleet_membership& m_membership;
    placement_policy m_placements;
    mutable work_estimate m_work;
    std::map<service_id, waiting_line> m_lines;
    std::map<service_id, time_point> m_last_returns; ///< When the caller refused last is expected back.
    std::map<waiting_ticket, waiting_entry> m_waiting;
};

} // namespace ragworthinge
