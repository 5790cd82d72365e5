#pragma once

#include "base/identifiers.h"
#include "base/store_position.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace ragworthinge {

/// Requests per second of a client account that arrive at a host, including those above its rate limit.
struct account_demand {
    account_id account;
    double requests_per_second = 0;
};

/// Number of requests that a host has in flight to an upstream.
struct upstream_load {
    upstream_id upstream;
    std::uint32_t in_flight = 0;
};

/// An object that an upstream has handled and probably still has cached.
struct known_object {
    upstream_id upstream;
    std::uint64_t object = 0; ///< Hash computed by `object_hash`.
};

/// A request during which its upstream crashed.
struct crash_notice {
    std::uint64_t fingerprint = 0;
    std::uint32_t upstream_crashes = 0; ///< Crashes counted by the sender.
};

/// Periodic report of a host to all others, or to its region's reporter in a larger fleet. Contains what is not in the
/// store.
struct host_report {
    host_id host;
    ragworthinge::incarnation incarnation = 0;
    bool is_leaving = false;
    ragworthinge::store_position store_position; ///< Place up to which the sender knows the store's history.
    std::vector<account_demand> demands;
    std::vector<upstream_load> loads;
    std::vector<known_object> new_objects; ///< Since the previous report.
    std::vector<crash_notice> crashes;
};

/// A host that is known through its region's reporter.
struct relayed_host {
    host_id name;
    ragworthinge::incarnation incarnation = 0;
    bool is_leaving = false;
    ragworthinge::store_position store_position;
    std::chrono::milliseconds age{0}; ///< Age of the host's report at the reporter.
};

/// The reports of a region's hosts, aggregated by the region's reporter.
struct region_report {
    region_id region;
    host_id reporter;
    /// Whether this host has been the reporter for long enough to have all reports. Only then are its sums used.
    bool is_complete = false;
    std::vector<relayed_host> hosts; ///< Hosts whose reports the reporter receives, including itself.
    std::vector<account_demand> demands;
    std::vector<upstream_load> loads;
    std::vector<known_object> new_objects; ///< Since the reporter's previous region report.
    std::vector<crash_notice> crashes;
};

/// Demand for an account from a host's point of view.
/// The host's share of the rate is `region_fraction * own / (own + others)`.
struct demand_view {
    double others = 0; ///< Requests per second at the other hosts of its region, or at all other hosts in a fleet
                       ///< without reporters.
    double region_fraction = 1; ///< Fraction of the total demand that arrives in this region.
};

/// Identifies an upstream in region updates, where names would take most of the bytes. With 1,000 upstreams, one fleet
/// in 8,600 has two that share a value; the load of each is then attributed to the other too.
using upstream_hash = std::uint32_t;
upstream_hash hash_of(const upstream_id& upstream) noexcept;

/// A change of the store as read by the reporter.
struct store_change {
    std::string key;
    std::optional<std::string> value; ///< Absent if the entry was removed.
    store_position position;
};

/// Request of a host to its region's reporter, instead of reporting to all hosts and polling the store. Its report is
/// part of the request.
struct region_update_request {
    host_report report;
    /// Each incarnation of a reporter numbers objects anew. The requesting host already has the objects below
    /// `next_object` of this incarnation.
    incarnation object_incarnation = 0;
    std::uint64_t next_object = 0;
};

/// An object that an upstream has handled, as listed in a region update.
struct known_object_entry {
    upstream_hash upstream = 0;
    std::uint64_t object = 0;
};

/// The reporter's reply: what the requesting host would otherwise learn from all other hosts and from the store.
struct region_update {
    host_id reporter;
    incarnation reporter_incarnation = 0;
    ragworthinge::store_position store_position; ///< Place up to which the reporter knows the store's history.
    /// Whether the store responds to the reporter. If not, the requesting host polls the store itself.
    bool follows_store = false;
    /// Whether the reporter passes the requesting host's data on to other hosts. If not, they reserve only an equal
    /// share of the budgets for it.
    bool counts_requester = false;
    /// Changes since the store position of the requesting host; absent if there are too many or the reporter no longer
    /// has them.
    std::optional<std::vector<store_change>> changes;
    std::vector<host_id> timed_out; ///< Registered hosts whose reports do not reach the reporter.
    std::vector<host_id> leaving;   ///< Hosts that announced that they are leaving.
    /// Demand for the accounts in the report of the requesting host.
    std::vector<std::pair<account_id, demand_view>> demands;
    /// Requests in flight of all hosts except the requesting one.
    std::vector<std::pair<upstream_hash, std::uint32_t>> loads;
    std::uint64_t next_object = 0; ///< To be sent with the next request.
    std::vector<known_object_entry> new_objects;
    std::vector<crash_notice> crashes; ///< Crashes counted by all hosts except the requesting one.
};

} // namespace ragworthinge
