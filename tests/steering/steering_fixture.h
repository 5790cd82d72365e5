#pragma once

#include "steering/fleet_membership.h"
#include "steering/fleet_state.h"

#include <chrono>
#include <string>

namespace ragworthinge {

inline const time_point test_start = time_point(std::chrono::hours(1));

inline steering_route make_route(const std::string& service) {
    steering_route route;
    route.name = "route-" + service;
    route.host_name = "lots.example";
    route.path_prefix = "/" + service + "/";
    route.parts = {{service, 1}};
    route.is_idempotent = true;
    route.prefers_known_object = true;
    route.max_attempts = 2;
    route.timeout = std::chrono::milliseconds(1200);
    route.target_latency = std::chrono::milliseconds(600);
    return route;
}

inline steering_configuration make_configuration(std::int64_t version = 1) {
    steering_configuration configuration;
    configuration.version = version;
    configuration.routes = {make_route("lots")};
    configuration.services = {
        {.name = "lots", .health_path = "/", .connection_limit = 0, .cold_requests_per_second = 3}};
    return configuration;
}

inline upstream_description make_upstream(const std::string& id, const std::string& domain = "gulf-a") {
    upstream_description description;
    description.id = id;
    description.service = "lots";
    description.address = "10.0.0.1:80";
    description.failure_domain = domain;
    description.slots = 4;
    description.started_at = 1;
    return description;
}

inline fleet_state make_fleet() {
    return fleet_state(
        {.regions = {{"gulf-a", "gulf"}, {"delta-a", "delta"}, {"piedmont-a", "piedmont"}}, .upstreams = {}});
}

inline entry_host make_host(const std::string& name, incarnation run = 1, const std::string& region = "gulf") {
    return {.name = name,
            .incarnation = run,
            .region = region,
            .failure_domain = region + "-a",
            .caller_address = name + ":80",
            .peer_address = name + ":81"};
}

inline fleet_membership make_membership(const std::string& self, const std::string& region = "gulf") {
    return fleet_membership({.self = self, .region = region, .failure_domain = region + "-a"});
}

} // namespace ragworthinge
