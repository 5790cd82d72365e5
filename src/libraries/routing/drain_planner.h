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

/// Kind of object that a drain removes traffic from.
enum class drain_target_kind { upstream, host, failure_domain, region };

struct drain_target {
    drain_target_kind kind = drain_target_kind::upstream;
    std::string name;
};

/// Reads "upstream:NAME", "host:NAME", "failure_domain:NAME" or "region:NAME".
result<drain_target> parse_drain_target(std::string_view text);

/// Reads an RFC 3339 time in UTC, such as 2024-02-29T05:00:00Z.
result<wall_time> parse_start_time(std::string_view text);

/// Observed load of one service in one region.
struct service_load {
    service_id service;
    region_id region;
    double busy_slots = 0; ///< Slots needed by the current load.
};

/// A host that could be drained.
struct host_location {
    host_id host;
    region_id region;
    failure_domain_id failure_domain;
};

/// What does not fit while a drain runs.
struct drain_shortage {
    service_id service;
    region_id region;     ///< Empty when it concerns what the other regions can take together.
    double needed = 0;    ///< Slots.
    double available = 0; ///< Slots.
};

/// What running the due drains means.
struct drain_plan {
    std::vector<std::string> admitted; ///< Ids of the drains that run.
    std::vector<std::string> waiting;  ///< Ids of the drains that are due and do not fit, or leave too few hosts.
    std::set<upstream_id> upstreams;   ///< To be treated as leaving.
    std::set<host_id> hosts;           ///< To be treated as leaving.
    std::set<region_id> regions;       ///< Lookups and entry hosts send their traffic elsewhere.
    std::map<std::string, std::vector<drain_shortage>> shortages; ///< By drain id.
};

/// Decides which planned drains may run now.
///
/// A drain starts only if what remains can carry the load and still lose one failure domain. Drains are admitted one
/// after the other, running ones first, so that two that fit alone do not run together when they do not fit together.
/// A running drain stays admitted when the load rises; its shortages are reported.
class drain_planner {
public:
    /// Plans the drains of a configuration. Fails with invalid_argument on a malformed target or time. `loads` that
    /// are missing are unknown: a drain that affects them waits.
    static result<drain_plan> plan(const fleet_configuration& configuration, std::span<const service_load> loads,
                                   std::span<const host_location> hosts, wall_time now);

    /// Longest time from the start of an upstream's drain until nothing of it runs any more.
    static duration max_drain_duration(const service_configuration& service, duration grace);
};

} // namespace ragworthinge
