#pragma once

#include "base/time.h"
#include "steering/fleet_change.h"
#include "steering/fleet_report.h"

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
    /// A host that sent no report for this long gets no callers. Two and a half report periods, so that one lost does
    /// not matter.
    duration silence_limit = std::chrono::milliseconds(2100);
    /// A host that has just appeared counts as live for this long before its first report must arrive.
    duration first_report_limit = std::chrono::milliseconds(2100);
    /// A host whose entry vanished may live on behind a cut and spend its part of the budgets; it counts for this long.
    /// Source: the longest cuts that the deployments name are 12 s, and leases end after 8 s.
    duration reservation = std::chrono::seconds(40);
    /// The same for a host that said that it leaves. It serves on until it stops; source: a grace period of 6 s.
    duration leaving_reservation = std::chrono::seconds(7);
    /// A host that is known through a reporter is heard for this much longer: its report waits up to one report period
    /// for the next digest or bulletin. Source: the report period of 0.8 s.
    duration relay_allowance = std::chrono::milliseconds(800);
    /// Hosts whose capacities differ by less than this factor are ranked alike as reporters.
    double capacity_step = 1.5;
    /// A host that has become its region's reporter has a report of each host after this time: two report periods.
    duration takeover_time = std::chrono::milliseconds(1700);
    /// Digests of which the other regions know one: each is on its way for up to two report periods, with the bulletin
    /// and the sums behind it.
    std::size_t remembered_digests = 4;
    /// Up to this many hosts each reports to all others; larger fleets report through one host per region.
    /// Source: with 24 hosts a report of 0.4 kB per peer and period makes 12 kB/s each way (docs/CAPACITY.md).
    std::size_t direct_fleet_size = 24;
};

/// Which entry hosts exist, by the store, and which of them are heard, by their reports.
class fleet_membership {
public:
    explicit fleet_membership(fleet_membership_options options) : m_options(std::move(options)) {}

    const fleet_membership_options& options() const noexcept { return m_options; }

    /// Takes a host's entry; `revision` is the store's at its change.
    void announce(const entry_host& host, time_point now, std::int64_t revision = 0);

    /// The host's entry ended. While its reports arrive it stays a member: leases also end when the store was away.
    void withdraw(const host_id& name, time_point now);

    /// Forgets withdrawn hosts that are silent for longer than the reservation.
    void forget_old(time_point now);

    /// Takes a report; returns false if it comes from an unknown host or an earlier run. A later run counts at once:
    /// after a restart of all hosts their entries in the store are still those of the earlier runs.
    bool record_report(fleet_report report, time_point now);

    /// This host stops: it names itself to no caller.
    void set_leaving() noexcept { m_leaving = true; }
    bool is_leaving() const noexcept { return m_leaving; }

    /// Takes what the reporter of another region added up. Hosts that are not registered are left out. While a region
    /// changes its reporter, the digest of the earlier one counts too until a newer one has all of its hosts: demand
    /// that counts twice lowers shares, demand that is left out raises them.
    void record_digest(region_digest digest, time_point now);

    /// Takes the answer of the own region's reporter to a question sent at `asked_at`.
    void record_bulletin(region_bulletin bulletin, time_point asked_at, time_point now);

    /// Registered hosts that are not heard, and those that leave, for bulletins.
    std::vector<host_id> silent_hosts(time_point now) const;
    std::vector<host_id> leaving_hosts() const;

    /// Whether the fleet is too large for reports from each host to each other.
    bool uses_reporters() const { return size() > m_options.direct_fleet_size; }

    /// The host that adds up the reports of its region: the first in everyone's ranking of the strongest that stay and
    /// are heard, or are registered and have not fallen silent. Hosts that could not be reached are passed over unless
    /// that leaves none: after a cut between regions one must be tried again.
    std::optional<host_id> reporter_of(const region_id& region, const std::set<host_id>& unreachable,
                                       time_point now) const;

    /// Adds up the direct reports of this host's region for other regions; `own` is this host's report. Remembers the
    /// sums of demand, since the other regions know one of the last ones.
    region_digest make_digest(const fleet_report& own, time_point now);

    /// Hosts that may spend a part of the fleet's budgets, this one included even if the store does not list it.
    std::size_t size() const;

    /// Names of the hosts that are registered or heard, and of this one, in order.
    std::vector<host_id> names(time_point now) const;

    /// Hosts that may keep a pool: those that are heard and do not leave. Only this one while others do not hear it.
    std::vector<host_id> pool_keepers(time_point now) const;

    /// Whether the host's reports arrive, or it is this one.
    bool is_heard(const host_id& name, time_point now) const;

    /// Other hosts that are heard and hear this one.
    std::size_t heard_peers(time_point now) const;

    /// Demand of the other hosts that are heard, added up per account.
    std::map<account_id, double> reported_demands(time_point now) const;

    /// Demand per account as this host has to count it for its part of the rates. Nothing while it does not know: its
    /// region's reporter has not answered lately.
    std::optional<std::map<account_id, demand_view>> demand_views(time_point now) const;

    /// Demand in this host's region by direct reports, of all hosts but this one.
    std::map<account_id, double> region_demands(time_point now) const;

    /// The part of an account's demand that arrives in this region, at its reporter. The lowest of the region's last
    /// sums counts: then no region counts less for another than that one counts for itself.
    double region_part(const account_id& account, const std::map<account_id, double>& foreign) const;

    /// Demand in other regions by their digests.
    std::map<account_id, double> foreign_demands(time_point now) const;

    /// Requests of the other hosts that are heard, added up per upstream.
    std::map<upstream_number, double> reported_loads(time_point now) const;

    /// Direct reports that the two sums above contain.
    std::map<host_id, fleet_report> counted_reports(time_point now) const;

    /// The heard host that knows the highest store revision, if that is above the given one.
    std::optional<host_id> best_informed_peer(std::int64_t known_revision, time_point now) const;

    /// All other hosts that are registered or were heard lately.
    std::vector<entry_host> peers() const;

    /// Regions with other hosts, except this host's own.
    std::set<region_id> other_regions() const;

    /// Hosts that callers of a region should connect to: the live ones there, or all live ones if it has none.
    std::vector<entry_host> entry_hosts_for(const region_id& region, time_point now) const;

private:
    struct member {
        entry_host host;
        time_point announced_at;
        std::int64_t announced_revision = 0;
        std::optional<time_point> reported_at; ///< By the host itself.
        std::optional<time_point> relayed_at;  ///< The same as the reporter of its region had it.
        std::optional<time_point> withdrawn_at;
        bool has_fallen_silent = false; ///< It was heard, by this host or the reporter, and is no longer.
        fleet_report report;            ///< Empty lists if it is only known through a reporter.
    };

    struct relayed_region {
        region_digest digest;
        time_point received_at;
    };

    struct received_bulletin {
        region_bulletin bulletin;
        time_point received_at;
    };

    const region_bulletin* current_bulletin(time_point now) const;
    bool is_unheard(time_point now) const;
    bool is_silent(const member& known, time_point now) const;
    bool has_all_reports(time_point now) const;

    /// Whether each other region that sends digests has a reporter with all reports.
    bool knows_foreign_demand(time_point now) const;
    static void begin_run(member& known, time_point now);

    /// Whether the message comes from the member's known run, or from a later one, which becomes the known one.
    static bool accepts_run(member& known, incarnation run, time_point now);
    bool takes_callers(const member& candidate, time_point now) const;
    bool is_heard(const member& known, time_point now) const;
    bool is_reporting(const member& known, time_point now) const;
    bool is_relayed(const member& known, time_point now) const;

    template <typename Function>
    void for_each_current_digest(time_point now, Function&& function) const;

    /// Calls the function with the direct reports of hosts that no current digest contains.
    template <typename Function>
    void for_each_counted_report(time_point now, Function&& function) const;

    /// Calls the function with the demands and loads that add up to those of all other hosts that are heard: digests,
    /// and the reports of hosts that none of them contains.
    template <typename Function>
    void for_each_part(time_point now, Function&& function) const;

    fleet_membership_options m_options;
    std::map<host_id, member> m_members;
    std::map<region_id, std::vector<relayed_region>> m_digests; ///< Latest of each reporter of the other regions.
    time_point m_reporter_since; ///< Of the first digest made here since another host was the reporter.
    std::deque<std::map<account_id, double>> m_region_sums; ///< Of the last digests made here, newest first.
    std::optional<received_bulletin> m_bulletin;            ///< Latest one of the own region's reporter.
    bool m_leaving = false;
};

} // namespace ragworthinge
