#pragma once

#include "base/identifiers.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
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

/// What a host tells the others, or in a larger fleet its region's reporter, periodically, since the store does not
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

/// A host that is known through its region's reporter.
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
    host_id reporter;
    /// Whether the reporter has been one for long enough to have all reports. Its sums count from then on.
    bool is_complete = false;
    std::vector<relayed_host> hosts; ///< Those that the reporter hears, itself included.
    std::vector<account_demand> demands;
    std::vector<upstream_load> loads;
    std::vector<known_object> new_objects; ///< Since the reporter's previous digest.
    std::vector<crash_notice> crashes;
};

/// Demand for an account from a host's point of view. Its part of the rate is `region_part * own / (own + others)`.
struct demand_view {
    double others = 0;      ///< Requests per second at the other hosts of its region, or of a fleet without reporters.
    double region_part = 1; ///< Of the whole demand, the part that arrives in this region.
};

/// Stands for an upstream in bulletins, where its name would be most of the bytes. Two upstreams of 1,000 share a
/// number in one fleet of 8,600; then each counts the other's load too.
using upstream_number = std::uint32_t;
upstream_number number_of(const upstream_id& upstream) noexcept;

/// A change of the store as the reporter read it.
struct store_change {
    std::string key;
    std::optional<std::string> value; ///< Absent if the entry was removed.
    std::int64_t revision = 0;
};

/// What a host asks the reporter of its region instead of telling all others and asking the store.
struct bulletin_question {
    fleet_report report;
    /// Objects are numbered by each run of a reporter; those below this number of that run are known.
    incarnation object_source = 0;
    std::uint64_t next_object = 0;
};

/// An object that an upstream has handled, in a bulletin.
struct numbered_object {
    upstream_number upstream = 0;
    std::uint64_t object = 0;
};

/// The reporter's answer: what the asking host would have learnt from all others and from the store.
struct region_bulletin {
    host_id reporter;
    incarnation reporter_run = 0;
    std::int64_t store_revision = 0; ///< Up to which the reporter knows the store.
    /// Whether the store answers the reporter. If not, the asking host asks the store itself.
    bool follows_store = false;
    /// Whether others learn of the asking host from this reporter. If not, they grant it an equal part of the budgets.
    bool hears_asker = false;
    /// Changes above the revision of the asking host; absent if they are too many or no longer known.
    std::optional<std::vector<store_change>> changes;
    std::vector<host_id> silent;  ///< Registered hosts that the reporter does not hear.
    std::vector<host_id> leaving; ///< Hosts that said that they stop.
    /// For the accounts in the report of the asking host.
    std::vector<std::pair<account_id, demand_view>> demands;
    /// Requests of all hosts but the asking one.
    std::vector<std::pair<upstream_number, std::uint32_t>> loads;
    std::uint64_t next_object = 0; ///< For the next question.
    std::vector<numbered_object> new_objects;
    std::vector<crash_notice> crashes; ///< Of all hosts but the asking one.
};

} // namespace ragworthinge
