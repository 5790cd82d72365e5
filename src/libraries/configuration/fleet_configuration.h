#pragma once

#include "base/identifiers.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace ragworthinge {

/// A region with the failure domains inside it.
struct region_configuration {
    region_id name;
    std::vector<failure_domain_id> failure_domains;
};

/// Capacity of the network in one direction between two regions.
struct link_configuration {
    region_id from;
    region_id to;
    double megabits_per_second = 0;
};

/// What operators want of an upstream.
enum class upstream_state { active, leaving };

/// A process that answers requests of one service.
struct upstream_configuration {
    upstream_id name;
    std::string address; ///< IP number.
    std::uint16_t port = 0;
    region_id region;
    failure_domain_id failure_domain;
    std::uint32_t slots = 0; ///< Requests that it can run at the same time.
    upstream_state state = upstream_state::active;
};

/// A service and its upstreams in all regions.
struct service_configuration {
    service_id name;
    std::chrono::milliseconds request_timeout{2000};
    std::uint32_t queue_limit = 1000; ///< Waiting requests per dispatcher.
    std::vector<upstream_configuration> upstreams;
};

/// Maps a path prefix to a service. The longest matching prefix decides.
struct route_configuration {
    std::string path_prefix;
    service_id service;
    bool open = false;                           ///< Needs no key.
    std::vector<account_id> accounts;            ///< Accounts allowed; empty means all.
    std::vector<std::string> idempotent_methods; ///< Methods idempotent here; empty means the HTTP default.
};

/// A client account with its fleet-wide rate.
struct account_configuration {
    account_id name;
    double rate_per_second = 0;
    double burst = 0; ///< Requests.
    double weight = 1;
};

/// A caller's key at rest.
struct key_configuration {
    std::string id; ///< Public name of the key, as shown to operators.
    account_id account;
    std::string digest; ///< Lower-case hex of HMAC-SHA-256 of the key under the fleet secret.
};

/// What operators want of a shift.
enum class shift_state { planned, running, paused, finished, cancelled };

/// A planned movement of traffic between two regions.
struct shift_configuration {
    std::string id;
    region_id from;
    region_id to;
    std::vector<service_id> services;
    double cap_requests_per_second = 0;
    double cap_megabits_per_second = 0;
    std::chrono::seconds ramp{60};
    shift_state state = shift_state::planned;
};

/// What operators want of a drain.
enum class drain_state { planned, running, finished, cancelled };

/// A planned removal of traffic from an upstream, a host, a failure domain or a region.
struct drain_configuration {
    std::string id;
    std::string target;    ///< "upstream:NAME", "host:NAME", "failure_domain:NAME" or "region:NAME".
    std::string starts_at; ///< RFC 3339 time in UTC; empty means at once.
    drain_state state = drain_state::planned;
};

/// A block of client addresses and the site (region) nearest to it.
struct client_block_configuration {
    std::string prefix; ///< CIDR notation.
    std::string site;
};

/// The configuration of the whole fleet at one revision.
struct fleet_configuration {
    configuration_revision revision = 0;
    std::string revision_comment;
    std::vector<region_configuration> regions;
    std::vector<link_configuration> links;
    std::vector<service_configuration> services;
    std::vector<route_configuration> routes;
    std::vector<account_configuration> client_accounts;
    std::vector<key_configuration> keys;
    std::vector<shift_configuration> shifts;
    std::vector<drain_configuration> drains;
    std::vector<client_block_configuration> client_blocks;
    std::chrono::seconds lookup_ttl{5};
};

} // namespace ragworthinge
