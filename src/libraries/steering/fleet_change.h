#pragma once

#include "base/identifiers.h"
#include "steering/steering_configuration.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>

namespace ragworthinge {

/// What an upstream says of itself through the registry.
struct upstream_facts {
    upstream_id id;
    service_id service;
    std::string address; ///< "IP:PORT"
    failure_domain_id failure_domain;
    unsigned slots = 1; ///< Requests that it processes at the same time.
    bool is_draining = false;
    std::int64_t started_at = 0;                 ///< Wall time of its start in milliseconds; changes with each start.
    std::chrono::milliseconds cold_remaining{0}; ///< Time until it is at full speed, when it wrote this.
};

/// An entry host as it registered itself.
struct entry_host {
    host_id name;
    ragworthinge::incarnation incarnation = 0;
    region_id region;
    failure_domain_id failure_domain;
    std::string caller_address; ///< "IP:PORT" for callers.
    std::string peer_address;   ///< "IP:PORT" for messages between hosts.
    double capacity = 1;        ///< Processor cores that it may use.
};

struct upstream_announced {
    upstream_facts facts;
};

/// Also for an entry that cannot be read: it names no upstream to use.
struct upstream_withdrawn {
    upstream_id id;
};

struct host_announced {
    entry_host host;
};

struct host_withdrawn {
    host_id name;
};

/// Operators want nothing more sent to a failure domain, or take it back.
struct evacuation_changed {
    failure_domain_id failure_domain;
    bool is_evacuated = false;
};

struct configuration_submitted {
    steering_configuration configuration;
};

/// One change of what the fleet shares through the store.
using fleet_change = std::variant<upstream_announced, upstream_withdrawn, host_announced, host_withdrawn,
                                  evacuation_changed, configuration_submitted>;

} // namespace ragworthinge
