#pragma once

#include "base/identifiers.h"
#include "steering/steering_configuration.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace ragworthinge {

/// Properties of an upstream as published in the registry.
struct upstream_description {
    upstream_id id;
    service_id service;
    std::string address; ///< "IP:PORT"
    failure_domain_id failure_domain;
    unsigned slots = 1; ///< Number of requests that it processes concurrently.
    bool is_draining = false;
    /// Wall-clock time of its start in milliseconds; changes with each start. Zero if it is unknown.
    std::int64_t started_at = 0;
    std::int64_t sequence = 0; ///< Number of the announcement; increases within one incarnation.
    std::chrono::milliseconds cold_remaining{
        0}; ///< Time until it reaches full speed, counted from when the entry was written.
};

/// Registration of an entry host.
struct entry_host {
    host_id name;
    ragworthinge::incarnation incarnation = 0;
    region_id region;
    failure_domain_id failure_domain;
    std::string caller_address;              ///< "IP:PORT" for callers.
    std::string peer_address;                ///< "IP:PORT" for messages between hosts.
    double capacity = 1;                     ///< Processor cores that it may use.
    std::optional<double> link_mbps;         ///< Speed of its link in Mbit/s.
    std::optional<std::int64_t> memory_mb;   ///< Memory that it may use.
    std::optional<std::int64_t> descriptors; ///< File descriptors that it may open.
};

struct upstream_announced {
    upstream_description description;
};

/// An upstream's entry was removed or cannot be parsed, so there is no upstream to use.
struct upstream_withdrawn {
    upstream_id id;
};

struct host_announced {
    entry_host host;
};

struct host_withdrawn {
    host_id name;
};

/// Operators have evacuated a failure domain, so that nothing more is sent to it, or have put it back into use.
struct evacuation_changed {
    failure_domain_id failure_domain;
    bool is_evacuated = false;
};

struct configuration_submitted {
    steering_configuration configuration;
};

/// One change of the fleet data that is shared through the store.
using fleet_change = std::variant<upstream_announced, upstream_withdrawn, host_announced, host_withdrawn,
                                  evacuation_changed, configuration_submitted>;

} // namespace ragworthinge
