#pragma once

#include "base/identifiers.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace ragworthinge {

/// Requests per second of a client account that arrive at a host, those over its rate included.
struct account_demand {
    account_id account;
    double requests_per_second = 0;
};

/// Requests that a host has under way at an upstream.
struct upstream_load {
    upstream_id upstream;
    std::uint32_t in_flight = 0;
};

/// An object that an upstream has handled.
struct known_object {
    upstream_id upstream;
    std::uint64_t object = 0; ///< See `object_of`.
};

/// A request whose upstream died while it ran.
struct crash_notice {
    std::uint64_t fingerprint = 0;
    std::uint32_t deaths = 0; ///< Counted by the sender.
};

/// What a host tells the others of its region periodically, and in a small fleet all others, since the store does not
/// know it.
struct fleet_report {
    host_id host;
    ragworthinge::incarnation incarnation = 0;
    bool is_leaving = false;
    std::int64_t store_revision = 0; ///< Revision up to which the sender knows the store.
    std::vector<account_demand> demands;
    std::vector<upstream_load> loads;
    std::vector<known_object> new_objects; ///< Since the previous report.
    std::vector<crash_notice> crashes;
};

/// A host of another region that is known through that region's reporter.
struct relayed_host {
    host_id name;
    ragworthinge::incarnation incarnation = 0;
    bool is_leaving = false;
    std::int64_t store_revision = 0;
    std::chrono::milliseconds age{0}; ///< Time since the reporter had the host's report.
};

/// The reports of a region's hosts added up by one of them, its reporter.
struct region_digest {
    region_id region;
    std::vector<relayed_host> hosts; ///< Those that the reporter hears, itself included.
    std::vector<account_demand> demands;
    std::vector<upstream_load> loads;
    std::vector<known_object> new_objects; ///< Since the reporter's previous digest.
    std::vector<crash_notice> crashes;
};

} // namespace ragworthinge
