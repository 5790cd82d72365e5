#pragma once

#include "steering/account_limiter.h"
#include "steering/crash_tracker.h"
#include "steering/fleet_membership.h"
#include "steering/fleet_retry_budget.h"
#include "steering/fleet_state.h"
#include "steering/placement_policy.h"
#include "steering/processing_time_estimator.h"
#include "steering/regional_room.h"
#include "steering/stop_plan.h"
#include "steering/waiting_queue.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace ragworthinge {

struct request_dispatcher_options {
    placement_options placement;
    /// Minimum Retry-After, so that a refused caller does not retry immediately.
    duration min_retry_after = std::chrono::milliseconds(100);
    /// Fraction of the slots that become free that is left to callers that retry after a refusal; the rest serves new
    /// requests.
    double retry_slot_fraction = 0.25;
    /// Maximum Retry-After, since overload ends and callers do not wait longer. A third of the longest timeout in the
    /// users' workload sheets, 12 s.
    duration max_retry_after = std::chrono::seconds(4);
};

/// A request that needs an upstream.
struct dispatch_request {
    placement_request placement;
    int priority = 0;
    account_id account;
    time_point target_at;
};

/// Result of a dispatch request.
struct dispatch_decision {
    enum class kind { send, wait, refuse };
    kind type = kind::refuse;
    placement placed;          ///< Set for `send`.
    duration retry_after{0};   ///< Set for `refuse`: time after which a retry should be served.
    duration expected_wait{0}; ///< Set for `wait` and `refuse`.
    const char* reason = "";   ///< Set for `refuse`.
};

/// Decides immediately whether a request is sent, waits for a cold upstream or is refused, and sends waiting requests
/// when an upstream can take them. A request that cannot be served in time is refused on arrival instead of when its
/// deadline has passed.
class request_dispatcher {
public:
    /// Called when a waiting request gets an upstream or can no longer be served in time.
    using outcome_handler = std::function<void(waiting_ticket, const dispatch_decision&)>;

    request_dispatcher(request_dispatcher_options options, fleet_state& fleet, fleet_membership& membership);

    /// Decides on a new request. After `wait` the caller must call `enqueue` or drop the request.
    dispatch_decision decide(const dispatch_request& request, time_point now);

    void enqueue(waiting_ticket ticket, dispatch_request request, time_point now, outcome_handler on_outcome);

    /// From now on requests are sent and wait only as far as the plan allows; all others are refused at once.
    void begin_stop(const stop_plan& plan, time_point now);

    /// Removes a waiting request whose caller disconnected.
    bool cancel(waiting_ticket ticket);

    /// Assigns free slots to waiting requests and refuses those that can no longer be served. Called after each end of
    /// an attempt, after each report, and periodically.
    void serve_waiting(time_point now);

    std::size_t waiting() const noexcept { return m_waiting.size(); }

    /// Sets this host's part of the fleet's demand, for each set of regions that accounts are bound to. Sets that are
    /// not named get an equal part.
    void set_demand_shares(std::map<std::vector<region_id>, double> shares) { m_demand_shares = std::move(shares); }

    placement_policy& placements() noexcept { return m_placements; }
    processing_time_estimator& processing_times() noexcept { return m_processing_times; }

    /// A service and the regions that requests for it are bound to.
    using room_key = std::pair<service_id, std::vector<region_id>>;

    /// Rooms of the regions that requests were bound to, for metrics.
    const std::map<room_key, std::shared_ptr<regional_room>>& rooms() const noexcept { return m_rooms; }

private:
    struct waiting_entry {
        dispatch_request request;
        outcome_handler on_outcome;
    };

    /// Chooses an upstream and determines the room that the request takes.
    placement place(const placement_request& request, time_point now);

    /// Returns the room of the regions that a request is bound to, updated from the candidates; null if it is not
    /// bound.
    std::shared_ptr<regional_room> room_of(const placement_request& request, const placement& placed, time_point now);

    /// This host's part of the slots in the regions that a request is bound to.
    double room_share(const placement_request& request) const;

    /// Returns the regions that are short of room for requests that have fewer regions to choose from than this one.
    std::map<region_id, double> scarce_regions(const placement_request& request, time_point now) const;

    /// Whether the regions that the request is bound to have room for it.
    static bool has_room(const dispatch_request& request, const placement& placed, time_point now);

    double own_slots(const service_id& service) const;
    duration expected_queue_wait(const dispatch_request& request) const;
    dispatch_decision refuse(const char* reason, duration retry_after) const;
    dispatch_decision refuse_for_stop() const;

    /// False if this host may exit before the response that is expected after the given time.
    bool can_be_answered_here(const dispatch_request& request, duration expected, time_point now) const;

    /// Refuses a request because no upstream is usable. If some only asked for quiet, Retry-After is the time until the
    /// first of them may get requests, spread over the refused callers.
    dispatch_decision refuse_unusable(const placement& placed, const dispatch_request& request, time_point now);

    /// Refuses a request for lack of capacity, with a Retry-After that differs from those of other refused callers.
    dispatch_decision refuse_overloaded(const char* reason, const dispatch_request& request, duration earliest,
                                        time_point now);

    request_dispatcher_options m_options;
    fleet_state& m_fleet;
    fleet_membership& m_membership;
    placement_policy m_placements;
    mutable processing_time_estimator m_processing_times;
    std::map<service_id, waiting_queue> m_queues;
    std::map<service_id, time_point>
        m_last_retry_times; ///< Time at which the retry of the last refused caller is expected.
    std::map<waiting_ticket, waiting_entry> m_waiting;
    std::map<room_key, std::shared_ptr<regional_room>> m_rooms;
    std::map<std::vector<region_id>, double> m_demand_shares;
    std::optional<stop_plan> m_stop; ///< Present from the order to stop on.
};

} // namespace ragworthinge
