#pragma once

#include "base/identifiers.h"
#include "base/result.h"
#include "base/time.h"
#include "configuration/fleet_configuration.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ragworthinge {

/// Kind of object from which a drain removes traffic.
enum class drain_target_kind { upstream, host, failure_domain, region };

struct drain_target {
    drain_target_kind kind = drain_target_kind::upstream;
    std::string name;
};

/// Parses "upstream:NAME", "host:NAME", "failure_domain:NAME" or "region:NAME". Fails with invalid_argument.
result<drain_target> parse_drain_target(std::string_view text);

/// Parses an RFC 3339 time in UTC, such as 2024-02-29T05:00:00Z. Fails with invalid_argument.
result<wall_time> parse_start_time(std::string_view text);

/// Observed load of one service in one region.
struct service_load {
    service_id service;
    region_id region;
    double busy_slots = 0; ///< Number of slots that the current load occupies.
};

/// Region and failure domain of a host.
struct host_location {
    host_id host;
    region_id region;
    failure_domain_id failure_domain;
};

/// Missing capacity that prevents a drain, or that a running drain causes.
struct drain_shortage {
    service_id service;
    region_id region;     ///< Empty if the shortage concerns the combined spare capacity of the other regions.
    double needed = 0;    ///< Slots.
    double available = 0; ///< Slots.
};

/// Result of planning the drains that are due.
struct drain_plan {
    std::vector<std::string> admitted; ///< Ids of the drains that may run.
    std::vector<std::string> waiting;  ///< Ids of due drains that lack spare capacity or leave too few hosts.
    std::set<upstream_id> upstreams;   ///< Upstreams to be treated as leaving.
    std::set<host_id> hosts;           ///< Hosts to be treated as leaving.
    std::set<region_id> regions;       ///< Regions that lookups and entry hosts must avoid.
    std::map<std::string, std::vector<drain_shortage>> shortages; ///< Shortages by drain id.
};

/// Decides which planned drains may run now.
///
/// A drain starts only if the remaining capacity can carry the load even after the loss of one more failure domain.
/// Drains are admitted one at a time, running ones first, so that two drains run together only if there is capacity for
/// both. A running drain stays admitted when the load rises; its shortages are reported.
class drain_planner {
public:
    /// Plans the drains of a configuration. Fails with invalid_argument on a malformed target or time. A service and
    /// region without an entry in `loads` has unknown load, and a drain that affects it waits.
    static result<drain_plan> plan(const fleet_configuration& configuration, std::span<const service_load> loads,
                                   std::span<const host_location> hosts, wall_time now);

    /// Maximum time from the start of an upstream's drain until its last request has ended.
    static duration max_drain_duration(const service_configuration& service, duration grace);
};

} // namespace ragworthinge
