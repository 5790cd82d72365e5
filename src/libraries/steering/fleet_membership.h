#pragma once

#include "base/time.h"
#include "steering/fleet_change.h"
#include "steering/fleet_report.h"
#include "steering/host_rooms.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace ragworthinge {

struct fleet_membership_options {
    host_id self;
    region_id region;
    failure_domain_id failure_domain;
    /// Time without a report after which no callers are sent to a host. Two and a half report periods, so that one lost
    /// report is tolerated.
    duration liveness_timeout = std::chrono::milliseconds(2100);
    /// Time for which a newly registered host counts as live before its first report arrives.
    duration first_report_timeout = std::chrono::milliseconds(2100);
    /// Time for which a host still counts after its entry was removed, because it may be alive behind a network
    /// partition and spend its share of the budgets. The longest partitions that the deployments name last 12 s, and
    /// leases end after 8 s.
    duration reservation = std::chrono::seconds(40);
    /// The same for a host that announced that it is leaving. It continues to serve until it stops, within a grace
    /// period of 6 s.
    duration leaving_reservation = std::chrono::seconds(7);
    /// Additional time for which a host known through a reporter counts as live, because its report waits for the next
    /// region report or region update for up to one report period of 0.8 s.
    duration relay_allowance = std::chrono::milliseconds(800);
    /// Hosts whose capacities differ by less than this factor are ranked alike when the reporter is chosen.
    double capacity_step = 1.5;
    /// Time after which a host that has become its region's reporter has received a report of each host: two report
    /// periods.
    duration takeover_time = std::chrono::milliseconds(1700);
    /// Number of own region reports of which other regions may currently use any one: with the region update and the
    /// summation behind it, each takes up to two report periods to arrive.
    std::size_t retained_region_reports = 4;
    /// Maximum number of hosts up to which each host reports to all others; larger fleets report through one reporter
    /// per region. With 24 hosts, a report of 0.4 kB per peer and period makes 12 kB/s in each direction
    /// (docs/CAPACITY.md).
    std::size_t direct_fleet_size = 24;
    /// Time for which this host's share of the fleet's room is kept while the members are unchanged.
    duration room_share_lifetime = std::chrono::seconds(1);
};

/// Tracks which entry hosts are registered in the store and which of them are live according to their reports.
class fleet_membership {
public:
    explicit fleet_membership(fleet_membership_options options) : m_options(std::move(options)) {}

    const fleet_membership_options& options() const noexcept { return m_options; }

    /// Processes a host's entry; `position` is the place of its last change in the store's history.
    void announce(const entry_host& host, time_point now, store_position position = {});

    /// Processes the end of a host's entry. The host remains a member while its reports arrive, since leases also end
    /// during a store outage.
    void withdraw(const host_id& name, time_point now);

    /// Removes withdrawn hosts that have sent no reports for longer than the reservation.
    void remove_expired(time_point now);

    /// Records a report; returns false if it comes from an unknown host or an earlier incarnation. A later incarnation
    /// is accepted at once, because after a restart of all hosts the store still has the entries of their earlier
    /// incarnations.
    bool record_report(host_report report, time_point now);

    /// Marks this host as leaving, so that it no longer lists itself as an entry host for callers.
    void set_leaving() noexcept { m_leaving = true; }
    bool is_leaving() const noexcept { return m_leaving; }

    /// Records the aggregated report of another region; hosts that are not registered are ignored. While a region
    /// changes its reporter, the report of the earlier reporter counts too until a newer one includes all of its hosts,
    /// because demand that is counted twice lowers shares, whereas demand that is missing raises them.
    void record_region_report(region_report aggregate, time_point now);

    /// Records the update from the own region's reporter; `requested_at` is the time when it was requested.
    void record_region_update(region_update update, time_point requested_at, time_point now);

    /// Registered hosts that have timed out and hosts that are leaving, for region updates.
    std::vector<host_id> timed_out_hosts(time_point now) const;
    std::vector<host_id> leaving_hosts() const;

    /// Whether the fleet is too large for each host to report to every other.
    bool uses_reporters() const { return size() > m_options.direct_fleet_size; }

    /// Returns the host that aggregates the reports of its region. All hosts apply the same ranking to the most capable
    /// hosts that are not leaving and that are either live or registered and not timed out; of another region without
    /// such a host, to its registered ones. Hosts in `unreachable` are skipped unless none remains: after a partition
    /// between regions, one of them must be tried again.
    std::optional<host_id> reporter_of(const region_id& region, const std::set<host_id>& unreachable,
                                       time_point now) const;

    /// Returns the host of this region that would be its reporter had it not timed out. It may be alive and be the
    /// reporter of other hosts of the region, each group having timed the other out; only a question to it can tell.
    /// Absent if this host or a live one goes before it.
    std::optional<host_id> timed_out_reporter(const std::set<host_id>& unreachable, time_point now) const;

    /// Records that a host has replied to this one.
    void record_reply(const host_id& name, time_point now);

    /// Aggregates the direct reports of this host's region for other regions; `own` is this host's report. Retains the
    /// demand sums, since other regions may still use one of the previous ones.
    region_report make_region_report(const host_report& own, time_point now);

    /// Number of hosts that may spend a share of the fleet's budgets. Includes this host even if the store does not
    /// list it.
    std::size_t size() const;

    /// Returns the names of the hosts that are registered or live, and of this one, in order.
    std::vector<host_id> names(time_point now) const;

    /// Returns the hosts eligible to own a pool: the live hosts that are not leaving, or only this host while the
    /// others do not receive its reports.
    std::vector<host_id> eligible_pool_owners(time_point now) const;

    /// Whether the host's reports arrive, directly or through a reporter. Always true for this host.
    bool is_live(const host_id& name, time_point now) const;

    /// Number of other live hosts; zero while they do not receive this host's reports.
    std::size_t live_peers(time_point now) const;

    /// Returns the demand of the other live hosts, summed per account.
    std::map<account_id, double> reported_demands(time_point now) const;

    /// Returns the demand per account on which this host bases its share of the rates. Empty optional while the demand
    /// is unknown because the region's reporter has not replied recently.
    std::optional<std::map<account_id, demand_view>> demand_views(time_point now) const;

    /// Returns the demand of the other hosts of this region, from direct reports.
    std::map<account_id, double> region_demands(time_point now) const;

    /// The most capable hosts of a region that may be its reporter, with or without registered hosts that timed out.
    std::vector<host_id> reporter_candidates(const region_id& region, const std::set<host_id>& unreachable,
                                             bool with_timed_out, time_point now) const;

    /// Returns the fraction of an account's demand that arrives in this region; for use by the region's reporter. It is
    /// based on the lowest of the region's last sums, so that no region weighs its own demand higher than the other
    /// regions do.
    double region_fraction(const account_id& account, const std::map<account_id, double>& other_demands) const;

    /// Returns the demand in other regions, from their region reports.
    std::map<account_id, double> other_region_demands(time_point now) const;

    /// Returns the requests in flight of the other live hosts, summed per upstream.
    std::map<upstream_hash, double> reported_loads(time_point now) const;

    /// Returns the direct reports that `reported_demands` and `reported_loads` include.
    std::map<host_id, host_report> counted_reports(time_point now) const;

    /// Returns the live host that knows the store's history furthest, if that is beyond the given position.
    std::optional<host_id> best_informed_peer(store_position known_position, time_point now) const;

    /// Returns all other hosts that are registered or were live recently.
    std::vector<entry_host> peers() const;

    /// Returns the regions of other hosts, except this host's own region.
    std::set<region_id> other_regions() const;

    /// Returns the hosts that callers of a region should connect to: the live ones in the region, or all live ones if
    /// it has none.
    std::vector<entry_host> entry_hosts_for(const region_id& region, time_point now) const;

    /// The room of the hosts, by which lookups name them.
    host_rooms& rooms() noexcept { return m_rooms; }

    /// Returns the share of the fleet's room that this host has, above 0 and at most 1. Hosts that no longer report but
    /// may still spend their share count as in `size`. An equal share if all hosts are of one kind. The result is kept
    /// for a short time, so that it may be asked for with each request.
    double room_share(time_point now) const;

private:
    struct member {
        entry_host host;
        time_point announced_at;
        store_position announced_position;
        std::optional<time_point> reported_at; ///< Time of the last direct report.
        std::optional<time_point> relayed_at;  ///< Time when the reporter of its region had the last report.
        std::optional<time_point> withdrawn_at;
        bool has_timed_out = false; ///< Its reports no longer arrive at this host or at the reporter.
        host_report report;         ///< Has empty lists if the host is only known through a reporter.
    };

    struct received_region_report {
        region_report aggregate;
        time_point received_at;
    };

    struct received_region_update {
        region_update update;
        time_point received_at;
    };

    const region_update* current_region_update(time_point now) const;
    bool is_unreported(time_point now) const;
    bool is_timed_out(const member& known, time_point now) const;
    bool has_all_reports(time_point now) const;

    /// Whether each other region that sends region reports has a reporter that has received the reports of all hosts.
    bool has_other_region_demands(time_point now) const;
    static void begin_incarnation(member& known, time_point now);

    /// Returns whether a message comes from the member's known incarnation or from a later one, which then becomes the
    /// known one.
    static bool accepts_incarnation(member& known, incarnation run, time_point now);
    double compute_room_share() const;
    bool accepts_callers(const member& candidate, time_point now) const;
    bool is_live(const member& known, time_point now) const;
    bool is_reporting(const member& known, time_point now) const;
    bool is_relayed(const member& known, time_point now) const;

    template <typename Function>
    void for_each_current_region_report(time_point now, Function&& function) const;

    /// Calls the function with the direct reports of hosts that no current region report includes.
    template <typename Function>
    void for_each_counted_report(time_point now, Function&& function) const;

    /// Calls the function with all sources of demand and load of the other live hosts: the current region reports, and
    /// the direct reports of hosts that none of these includes.
    template <typename Function>
    void for_each_source(time_point now, Function&& function) const;

    fleet_membership_options m_options;
    std::map<host_id, member> m_members;
    std::map<region_id, std::vector<received_region_report>>
        m_region_reports;        ///< Latest report of each reporter of the other regions.
    time_point m_reporter_since; ///< Time of the first region report made here since another host was the reporter.
    std::deque<std::map<account_id, double>>
        m_region_sums; ///< Demand sums of the last region reports made here, newest first.
    std::optional<received_region_update> m_region_update; ///< Latest update from the own region's reporter.
    bool m_leaving = false;
    host_rooms m_rooms;

    struct computed_share {
        double share = 1;
        time_point computed_at;
    };
    mutable std::optional<computed_share> m_room_share; ///< Absent after a change of the members.
};

} // namespace ragworthinge
