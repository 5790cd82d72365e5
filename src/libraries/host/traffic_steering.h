#pragma once

#include "host/configuration_snapshot.h"
#include "host/link_shares.h"
#include "host/request_context.h"
#include "host/share_service.h"
#include "membership/member_view.h"
#include "routing/drain_planner.h"
#include "routing/region_selector.h"
#include "routing/shift_controller.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ragworthinge {

class fiber_runtime;

/// Collaborators of a traffic_steering; all outlive it.
struct traffic_steering_options {
    fiber_runtime& runtime;
    platform_store& store;
    share_service& shares;
    const member_view& members;
    region_id region;
    /// An event for the log: "shift_paused", "drain_running", "drain_waiting", "store_garbage".
    std::function<void(const std::string& event, const std::string& detail)> on_event;
};

/// Chooses the region of each request: planned shifts and drains first, then the nearest region with capacity left.
///
/// Every host decides for itself; the caps hold over all hosts because a shifted request spends a token of the shift's
/// fleet-wide budget and every request to another region spends bandwidth of the link.
class traffic_steering {
public:
    explicit traffic_steering(traffic_steering_options options);

    /// Budgets of shifts and links for share_service::configure.
    static std::vector<budget_limit> budgets(const fleet_configuration& configuration);

    void configure(const std::shared_ptr<const configuration_snapshot>& snapshot);

    /// Takes the loads in a dispatcher's heartbeat. `measured_at` is a time before the heartbeat was composed.
    void observe(const heartbeat& message, time_point measured_at);

    /// The region for one request, or nothing if no region may take it. Spends budgets and counts the request as sent.
    std::optional<region_id> choose(const request_context& request, time_point now);

    /// The request sent there ended; `refused` if the region did not take it.
    void ended(const service_id& service, const region_id& region, bool refused, time_point now);

    /// Upstreams and hosts that a running drain removes from service.
    const std::set<upstream_id>& drained_upstreams() const noexcept { return m_plan.upstreams; }
    bool is_drained(const host_id& host) const { return m_plan.hosts.contains(host); }
    bool is_drained_region(const region_id& region) const { return m_plan.regions.contains(region); }

    /// Recomputes drains, observes the targets of shifts and writes what changed. Call about once a second.
    void refresh(time_point now);

    /// State of a shift as this host knows it.
    std::vector<shift_allowance> allowances(wall_time now) const;
    shift_state state(const std::string& shift) const { return m_shifts.state(shift); }

private:
    struct running_shift {
        shift_configuration configuration;
        budget_index budget = 0;
        double allowed_per_second = 0; ///< Over all hosts, by ramp and automatic pause.
        double tokens = 0;             ///< Local part of the ramp.
        time_point filled_at;
    };

    region_selector& selector_of(const service_id& service);
    std::optional<region_id> choose_shifted(const request_context& request, region_selector& sites, double megabits,
                                            time_point now);
    bool take_ramp_token(running_shift& shift, time_point now) const;
    void plan_drains(wall_time now);
    void observe_targets(time_point now);
    void exchange_records();
    void write_record(const shift_record& record);

    traffic_steering_options m_options;
    link_shares m_links;
    std::shared_ptr<const configuration_snapshot> m_snapshot;
    std::map<service_id, std::unique_ptr<region_selector>> m_selectors;
    std::map<std::pair<service_id, region_id>, service_load_report> m_loads;
    std::map<std::pair<service_id, region_id>, time_point> m_measured_at;
    shift_controller m_shifts;
    std::vector<running_shift> m_running;
    drain_plan m_plan;
    bool m_exchanging = false;
};

} // namespace ragworthinge
