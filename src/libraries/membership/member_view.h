#pragma once

#include "base/identifiers.h"
#include "base/time.h"
#include "membership/region_page.h"
#include "membership/suspicion.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace ragworthinge {

/// What this host believes of another.
enum class member_state {
    live,      ///< Takes work.
    suspected, ///< Silent towards two failure domains; gets no work, keeps its shares.
    leaving,   ///< Stops gracefully; gets no new work.
    gone,      ///< Has left, or is silent and has disappeared from the list.
    fenced     ///< This run is fenced on the region's page.
};

/// Load of a service in a region, as its dispatcher reports it.
struct service_load_report {
    service_id service;
    std::uint32_t free_slots = 0;           ///< Requests that could start now.
    std::uint32_t slots = 0;                ///< Usable slots of all failure domains.
    std::uint32_t largest_domain_slots = 0; ///< Usable slots of the largest failure domain.
    std::uint32_t occupied = 0;             ///< Slots in use; requests may wait for tokens of their account instead.
    std::uint32_t latency_ms = 0;           ///< Average time from dispatch to the end of the answer; zero: unknown.
    std::uint32_t errors_per_mille = 0;     ///< Part of the recent requests that failed at the upstream.
};

/// Control message that each host sends to its peers.
struct heartbeat {
    host_id host;
    ragworthinge::incarnation incarnation = 0;
    region_id region;
    failure_domain_id failure_domain;
    bool leaving = false;
    ragworthinge::configuration_revision configuration_revision = 0;
    std::optional<duration> store_proof_age; ///< Absent without any proof.
    std::int64_t region_page_revision = 0;
    std::vector<service_load_report> loads;
    std::vector<host_id> silent_hosts; ///< Members that the sender has not heard for the silence limit.
};

/// An entry of the platform's list of hosts, which lags behind.
struct listed_host {
    host_id host;
    region_id region;
    failure_domain_id failure_domain;
    bool leaving = false;
    /// Run that the entry describes, if the list knows it. Without it the entry applies to any run.
    std::optional<ragworthinge::incarnation> incarnation;
};

/// A host as seen at one moment.
struct member {
    host_id host;
    ragworthinge::incarnation incarnation = 0; ///< 0 until the first heartbeat.
    region_id region;
    failure_domain_id failure_domain;
    member_state state = member_state::live;
    std::optional<duration> silence; ///< Time since the last heartbeat; absent for this host and before the first.
    std::optional<heartbeat> latest_heartbeat;
};

struct member_view_options {
    suspicion_options suspicion_limits;
    /// Time that a gone host stays visible, so that status output can show it.
    duration gone_retention = std::chrono::minutes{10};
    /// Past runs remembered per host. Late heartbeats arrive within seconds, restarts take longer than that.
    std::size_t remembered_incarnations = 4;
};

/// Merges heartbeats, the lagging list and the region pages into one view of the hosts.
///
/// Heartbeats outrank the list. "Leaving" is never withdrawn for the same run. A fence applies to one run only: the
/// restarted process has another incarnation.
class member_view {
public:
    member_view(host_id self, region_id region, failure_domain_id failure_domain, ragworthinge::incarnation run,
                member_view_options options = {});

    /// Takes a heartbeat of a peer. Heartbeats of earlier runs and of this host itself are ignored.
    void apply(const heartbeat& message, time_point now);

    /// Replaces the lagging list.
    void apply(const std::vector<listed_host>& list, time_point now);

    /// Takes the page of a region; an older revision is ignored.
    void apply(const region_page& page);

    /// Marks this host as leaving.
    void set_leaving() noexcept { m_self_leaving = true; }

    /// Refreshes the own report of silent hosts and drops hosts that are gone for the retention time.
    void tick(time_point now);

    /// All hosts including this one, ordered by name.
    std::vector<member> members(time_point now) const;

    std::optional<member> find(const host_id& host, time_point now) const;

    /// Names of the hosts of a region in the given state, ordered by name.
    std::vector<host_id> hosts_in(const region_id& region, member_state state, time_point now) const;

    /// The dispatcher of a service in a region, or nothing without a live host there.
    std::optional<host_id> dispatcher_for(const service_id& service, const region_id& region, time_point now) const;

    /// Hosts that this host has not heard for the silence limit, for its next heartbeat.
    std::vector<host_id> silent_hosts(time_point now) const;

private:
    struct record {
        region_id region;
        failure_domain_id failure_domain;
        ragworthinge::incarnation incarnation = 0;
        bool heard = false;
        bool leaving = false; ///< Said by this run itself.
        std::optional<listed_host> listed;
        bool delisted = false; ///< Was on the list and has disappeared from it.
        time_point last_heard; ///< Time of first listing until the first heartbeat.
        std::optional<heartbeat> latest_heartbeat;
        std::deque<ragworthinge::incarnation> earlier_incarnations;
    };

    bool is_fenced(const record& entry, const host_id& host) const noexcept;
    bool is_listed_as_leaving(const record& entry) const noexcept;
    member_state state_of(const host_id& host, const record& entry, time_point now) const;
    member_state own_state() const noexcept;
    member describe(const host_id& host, const record& entry, time_point now) const;
    member describe_self() const;
    void start_run(record& entry, ragworthinge::incarnation run) const;

    host_id m_self;
    region_id m_region;
    failure_domain_id m_failure_domain;
    ragworthinge::incarnation m_run;
    member_view_options m_options;
    bool m_self_leaving = false;
    suspicion m_suspicion;
    std::map<host_id, record> m_records;
    std::map<region_id, region_page> m_pages;
};

} // namespace ragworthinge
