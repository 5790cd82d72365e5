#pragma once

#include "base/identifiers.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragworthinge {

/// A service that receives a share of a route's requests.
struct traffic_part {
    service_id service;
    double weight = 1;
};

/// Routing rule for the requests of one host name and path prefix.
struct steering_route {
    std::string name;
    std::string host_name;             ///< Host field of the requests, without a port.
    std::string path_prefix;           ///< Starts and ends with a slash.
    std::vector<traffic_part> parts;   ///< Contains at least one entry.
    bool is_idempotent = false;        ///< Whether a request may be executed more than once.
    bool needs_key = true;             ///< False for public routes.
    bool prefers_known_object = false; ///< Whether upstreams respond faster for objects that they have handled before.
    int priority = 0;                  ///< 0 is the most urgent.
    unsigned max_attempts = 1;         ///< Maximum number of upstreams that one request is sent to.
    std::chrono::milliseconds timeout{0};        ///< Maximum time until the final response.
    std::chrono::milliseconds target_latency{0}; ///< Responses later than this are worth less to the caller.
    std::vector<region_id> allowed_regions;      ///< Empty: all.
};

/// A client account with its keys and its fleet-wide rate limit.
struct steering_account {
    account_id name;
    std::vector<std::string> keys;
    std::optional<int> priority;            ///< Overrides the priority of the route.
    double requests_per_second = 0;         ///< Zero: no limit.
    double burst = 0;                       ///< Requests allowed in addition to the rate.
    std::vector<region_id> allowed_regions; ///< Empty: all.
};

/// Regions whose upstreams may get the requests of an account on a route; absent: all. Both lists bind, so there may be
/// no region left. `account_regions` may be null.
std::optional<std::vector<region_id>> allowed_regions(const steering_route& route,
                                                      const std::vector<region_id>* account_regions);

/// A service and the limits of its upstreams.
struct steering_service {
    service_id name;
    std::string health_path;
    std::uint32_t connection_limit =
        0; ///< Connections that an upstream accepts from all hosts together; zero: no limit.
    double cold_requests_per_second = 0; ///< Rate of requests that a cold upstream tolerates; zero: no limit.
};

/// Limits on the size and duration of callers' requests.
struct caller_limits {
    std::size_t header_bytes = 16 * 1024;
    std::size_t body_bytes = 1024 * 1024;
    std::chrono::milliseconds header_timeout{10'000};
    std::chrono::milliseconds idle_timeout{60'000};
};

/// One version of the operators' configuration.
struct steering_configuration {
    std::int64_t version = 0;
    std::vector<steering_route> routes;
    std::vector<steering_account> accounts; ///< Empty: requests need no key.
    std::vector<steering_service> services;
    caller_limits limits;
};

} // namespace ragworthinge
