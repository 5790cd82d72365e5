#pragma once

#include "base/time.h"
#include "steering/crash_tracker.h"
#include "steering/fleet_membership.h"
#include "steering/fleet_report.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace ragworthinge {

struct region_update_builder_options {
    incarnation run = 0; ///< Incarnation of this host.
    /// Minimum interval between two computations of the sums over all hosts: 122 hosts per region send 153 requests per
    /// second.
    duration sum_period = std::chrono::milliseconds(200);
    /// Number of objects kept for later requests, which also limits the objects in one update. Each takes 12 bytes, so
    /// an update stays below 25 kB; a host that missed more learns the others from its own responses.
    std::size_t object_limit = 2000;
};

/// Builds the region updates with which a reporter replies to the hosts of its region, so that hosts neither exchange
/// reports directly nor poll the store: with 65 hosts per region, each sent 80 messages per second to the others.
///
/// The fields that depend on the store (`changes`, `follows_store`) are filled in by the owner.
class region_update_builder {
public:
    region_update_builder(const fleet_membership& membership, crash_tracker& crashes,
                          region_update_builder_options options)
        : m_membership(membership), m_crashes(crashes), m_options(options) {}

    /// Adds objects that became known in this region or through a region report.
    void add_objects(const std::vector<known_object>& objects);

    /// Builds the update for the requesting host, whose report must have been recorded before. `own` is this host's
    /// latest report; `is_reporter` tells whether this host reports the requesting host's data to other regions.
    region_update make_update(const region_update_request& request, const host_report& own, bool is_reporter,
                              time_point now);

private:
    /// Sums over the reports of all hosts.
    struct report_sums {
        std::map<account_id, demand_view> demands; ///< `others` includes every host of the region.
        std::map<upstream_hash, double> loads;
        std::map<host_id, host_report> reports; ///< Direct reports included in the sums.
        std::vector<host_id> timed_out;
        std::vector<host_id> leaving;
        time_point made_at;
        bool has_demand = false;
    };

    void update_sums(const host_report& own, time_point now);

    const fleet_membership& m_membership;
    crash_tracker& m_crashes;
    region_update_builder_options m_options;
    report_sums m_sums;
    std::deque<known_object_entry> m_objects;
    std::uint64_t m_first_object = 0; ///< Sequence number of the oldest object.
};

} // namespace ragworthinge
