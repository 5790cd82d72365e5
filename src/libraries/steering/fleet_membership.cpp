#include "steering/fleet_membership.h"

#include "membership/rendezvous_hash.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace ragworthinge {

void fleet_membership::announce(const entry_host& host, time_point now, store_position position) {
    m_room_share.reset();
    const auto [entry, created] = m_members.try_emplace(host.name);
    member& known = entry->second;
    const bool was_withdrawn = std::exchange(known.withdrawn_at, std::nullopt).has_value();
    // Messages of a later incarnation may arrive before its entry.
    if (!created && known.host.incarnation > host.incarnation && is_live(known, now))
        return;
    const bool restarted = created || known.host.incarnation != host.incarnation;
    // A host that has read the same record in an earlier era of the store knows this host too.
    if (restarted || was_withdrawn)
        known.announced_position = position;
    known.host = host;
    if (restarted)
        begin_incarnation(known, now);
}

void fleet_membership::begin_incarnation(member& known, time_point now) {
    known.announced_at = now;
    known.reported_at.reset();
    known.relayed_at.reset();
    known.has_timed_out = false;
    known.report = {};
}

bool fleet_membership::accepts_incarnation(member& known, incarnation run, time_point now) {
    if (run < known.host.incarnation)
        return false;
    if (run > known.host.incarnation) {
        known.host.incarnation = run;
        begin_incarnation(known, now);
    }
    return true;
}

void fleet_membership::withdraw(const host_id& name, time_point now) {
    if (const auto found = m_members.find(name); found != m_members.end())
        found->second.withdrawn_at = now;
}

void fleet_membership::remove_expired(time_point now) {
    const std::size_t expired = std::erase_if(m_members, [&](const auto& entry) {
        const member& known = entry.second;
        const duration kept = known.report.is_leaving ? m_options.leaving_reservation : m_options.reservation;
        return known.withdrawn_at && now - *known.withdrawn_at > kept && !is_live(known, now);
    });
    if (expired > 0)
        m_room_share.reset();
}

bool fleet_membership::record_report(host_report report, time_point now) {
    const auto found = m_members.find(report.host);
    if (found == m_members.end() || !accepts_incarnation(found->second, report.incarnation, now))
        return false;
    found->second.reported_at = now;
    found->second.has_timed_out = false;
    found->second.report = std::move(report);
    return true;
}

void fleet_membership::record_region_report(region_report aggregate, time_point now) {
    if (aggregate.region == m_options.region)
        return;
    for (const relayed_host& relayed : aggregate.hosts) {
        const auto found = m_members.find(relayed.name);
        if (found == m_members.end() || !accepts_incarnation(found->second, relayed.incarnation, now))
            continue;
        member& known = found->second;
        const time_point relayed_at = now - relayed.age;
        if (known.relayed_at && *known.relayed_at > relayed_at)
            continue;
        known.relayed_at = relayed_at;
        known.has_timed_out = false;
        known.report.is_leaving = relayed.is_leaving;
        known.report.store_position = std::max(known.report.store_position, relayed.store_position);
    }
    const auto covers = [&](const region_report& old) {
        return std::all_of(old.hosts.begin(), old.hosts.end(), [&](const relayed_host& host) {
            return host.name == old.reporter ||
                   std::any_of(aggregate.hosts.begin(), aggregate.hosts.end(),
                               [&](const relayed_host& known) { return known.name == host.name; });
        });
    };
    std::vector<received_region_report>& kept = m_region_reports[aggregate.region];
    std::erase_if(kept, [&](const received_region_report& old) {
        return old.aggregate.reporter == aggregate.reporter || now - old.received_at >= m_options.liveness_timeout ||
               covers(old.aggregate);
    });
    kept.push_back({std::move(aggregate), now});
}

void fleet_membership::record_region_update(region_update update, time_point requested_at, time_point now) {
    const std::set<host_id> timed_out(update.timed_out.begin(), update.timed_out.end());
    const std::set<host_id> leaving(update.leaving.begin(), update.leaving.end());
    for (auto& [name, known] : m_members) {
        const bool is_reporter = name == update.reporter;
        if (name == m_options.self)
            continue;
        if (timed_out.contains(name) && !is_reporter) {
            known.relayed_at.reset();
            known.has_timed_out = true;
            continue;
        }
        // The reporter has no information about a host whose entry it has not read yet.
        if (known.announced_position > update.store_position && !is_reporter)
            continue;
        known.relayed_at = std::max(known.relayed_at.value_or(requested_at), requested_at);
        known.has_timed_out = false;
        known.report.is_leaving = leaving.contains(name);
        if (is_reporter)
            known.report.store_position = std::max(known.report.store_position, update.store_position);
    }
    m_region_update = {std::move(update), now};
    // Another host is the reporter now, so the sums computed here are outdated.
    m_region_sums.clear();
}

const region_update* fleet_membership::current_region_update(time_point now) const {
    const bool is_current = m_region_update && now - m_region_update->received_at < m_options.liveness_timeout;
    return is_current ? &m_region_update->update : nullptr;
}

bool fleet_membership::is_unreported(time_point now) const {
    const region_update* update = current_region_update(now);
    return update != nullptr && !update->counts_requester;
}

bool fleet_membership::is_timed_out(const member& known, time_point now) const {
    if (is_live(known, now))
        return false;
    const bool was_live = known.reported_at || known.relayed_at || known.has_timed_out;
    return was_live || now - known.announced_at >= m_options.first_report_timeout;
}

bool fleet_membership::has_all_reports(time_point now) const {
    return !m_region_sums.empty() && now - m_reporter_since >= m_options.takeover_time;
}

std::vector<host_id> fleet_membership::timed_out_hosts(time_point now) const {
    std::vector<host_id> timed_out;
    for (const auto& [name, known] : m_members) {
        if (name != m_options.self && is_timed_out(known, now))
            timed_out.push_back(name);
    }
    return timed_out;
}

std::vector<host_id> fleet_membership::leaving_hosts() const {
    std::vector<host_id> leaving;
    for (const auto& [name, known] : m_members) {
        if (name == m_options.self ? m_leaving : known.report.is_leaving)
            leaving.push_back(name);
    }
    return leaving;
}

std::vector<host_id> fleet_membership::reporter_candidates(const region_id& region,
                                                           const std::set<host_id>& unreachable, bool with_timed_out,
                                                           time_point now) const {
    std::vector<host_id> candidates;
    double capacity = 0;
    for (const auto& [name, known] : m_members) {
        const bool is_self = name == m_options.self;
        const bool leaves = is_self ? m_leaving : known.report.is_leaving;
        if (known.host.region != region || unreachable.contains(name) || leaves)
            continue;
        if (!is_self && !is_live(known, now) && (known.withdrawn_at || (!with_timed_out && is_timed_out(known, now))))
            continue;
        // Serving region updates takes a considerable part of a weak host's processor and would delay its callers.
        if (known.host.capacity > capacity * m_options.capacity_step)
            candidates.clear();
        if (candidates.empty())
            capacity = known.host.capacity;
        if (known.host.capacity * m_options.capacity_step >= capacity)
            candidates.push_back(name);
    }
    return candidates;
}

std::optional<host_id> fleet_membership::reporter_of(const region_id& region, const std::set<host_id>& unreachable,
                                                     time_point now) const {
    std::vector<host_id> candidates = reporter_candidates(region, unreachable, false, now);
    // Two regions that have timed each other out hear of each other again only if one of them tries.
    if (candidates.empty() && region != m_options.region)
        candidates = reporter_candidates(region, unreachable, true, now);
    if (region == m_options.region && !m_members.contains(m_options.self) && !m_leaving)
        candidates.push_back(m_options.self);
    if (candidates.empty() && !unreachable.empty())
        return reporter_of(region, {}, now);
    return highest_ranked_host("reporter/" + region, candidates);
}

std::optional<host_id> fleet_membership::timed_out_reporter(const std::set<host_id>& unreachable,
                                                            time_point now) const {
    const region_id& region = m_options.region;
    const auto best = highest_ranked_host("reporter/" + region, reporter_candidates(region, unreachable, true, now));
    return best && !is_live(*best, now) ? best : std::nullopt;
}

void fleet_membership::record_reply(const host_id& name, time_point now) {
    if (const auto found = m_members.find(name); found != m_members.end()) {
        found->second.relayed_at = now;
        found->second.has_timed_out = false;
    }
}

region_report fleet_membership::make_region_report(const host_report& own, time_point now) {
    region_report aggregate;
    aggregate.region = m_options.region;
    aggregate.reporter = m_options.self;
    if (m_region_sums.empty())
        m_reporter_since = now;
    std::map<account_id, double> demands;
    std::map<upstream_id, std::uint32_t> loads;
    std::map<std::uint64_t, std::uint32_t> upstream_crashes;
    const auto add = [&](const host_report& report, duration age) {
        aggregate.hosts.push_back({report.host, report.incarnation, report.is_leaving, report.store_position,
                                   std::chrono::duration_cast<std::chrono::milliseconds>(age)});
        for (const account_demand& demand : report.demands)
            demands[demand.account] += demand.requests_per_second;
        for (const upstream_load& load : report.loads)
            loads[load.upstream] += load.in_flight;
        for (const crash_notice& notice : report.crashes)
            upstream_crashes[notice.fingerprint] += notice.upstream_crashes;
    };
    add(own, duration::zero());
    for (const auto& [name, known] : m_members) {
        if (name != m_options.self && known.host.region == m_options.region && is_reporting(known, now))
            add(known.report, now - *known.reported_at);
    }
    for (auto& [account, demand] : demands)
        aggregate.demands.push_back({account, demand});
    m_region_sums.push_front(std::move(demands));
    if (m_region_sums.size() > m_options.retained_region_reports)
        m_region_sums.pop_back();
    aggregate.is_complete = has_all_reports(now);
    for (auto& [upstream, in_flight] : loads)
        aggregate.loads.push_back({upstream, in_flight});
    for (auto& [fingerprint, count] : upstream_crashes)
        aggregate.crashes.push_back({fingerprint, count});
    return aggregate;
}

std::size_t fleet_membership::size() const {
    return m_members.size() + (m_members.contains(m_options.self) ? 0 : 1);
}

std::vector<host_id> fleet_membership::names(time_point now) const {
    std::vector<host_id> all;
    all.reserve(size());
    for (const auto& [name, known] : m_members) {
        if (!known.withdrawn_at || is_live(name, now))
            all.push_back(name);
    }
    if (!m_members.contains(m_options.self))
        all.push_back(m_options.self);
    return all;
}

std::vector<host_id> fleet_membership::eligible_pool_owners(time_point now) const {
    std::vector<host_id> owners;
    for (host_id& name : names(now)) {
        const auto found = m_members.find(name);
        const bool is_self = name == m_options.self;
        const bool leaves = is_self ? m_leaving : found != m_members.end() && found->second.report.is_leaving;
        if ((is_self || !is_unreported(now)) && is_live(name, now) && !leaves)
            owners.push_back(std::move(name));
    }
    return owners;
}

bool fleet_membership::is_live(const host_id& name, time_point now) const {
    if (name == m_options.self)
        return true;
    const auto found = m_members.find(name);
    return found != m_members.end() && is_live(found->second, now);
}

bool fleet_membership::is_live(const member& known, time_point now) const {
    return is_reporting(known, now) || is_relayed(known, now);
}

bool fleet_membership::is_reporting(const member& known, time_point now) const {
    return known.reported_at && now - *known.reported_at < m_options.liveness_timeout;
}

bool fleet_membership::is_relayed(const member& known, time_point now) const {
    return known.relayed_at && now - *known.relayed_at < m_options.liveness_timeout + m_options.relay_allowance;
}

template <typename Function>
void fleet_membership::for_each_current_region_report(time_point now, Function&& function) const {
    for (const auto& [region, aggregates] : m_region_reports) {
        for (const received_region_report& known : aggregates) {
            if (now - known.received_at < m_options.liveness_timeout)
                function(known.aggregate);
        }
    }
}

template <typename Function>
void fleet_membership::for_each_counted_report(time_point now, Function&& function) const {
    std::set<host_id> relayed;
    for_each_current_region_report(now, [&](const region_report& aggregate) {
        for (const relayed_host& host : aggregate.hosts)
            relayed.insert(host.name);
    });
    for (const auto& [name, known] : m_members) {
        if (name != m_options.self && is_reporting(known, now) && !relayed.contains(name))
            function(known.report);
    }
}

template <typename Function>
void fleet_membership::for_each_source(time_point now, Function&& function) const {
    for_each_current_region_report(now, function);
    for_each_counted_report(now, function);
}

std::map<host_id, host_report> fleet_membership::counted_reports(time_point now) const {
    std::map<host_id, host_report> reports;
    for_each_counted_report(now, [&](const host_report& report) { reports.emplace(report.host, report); });
    return reports;
}

std::size_t fleet_membership::live_peers(time_point now) const {
    if (is_unreported(now))
        return 0;
    return static_cast<std::size_t>(std::count_if(m_members.begin(), m_members.end(), [&](const auto& entry) {
        return entry.first != m_options.self && is_live(entry.second, now);
    }));
}

std::map<account_id, double> fleet_membership::reported_demands(time_point now) const {
    std::map<account_id, double> sums;
    for_each_source(now, [&](const auto& source) {
        for (const account_demand& demand : source.demands)
            sums[demand.account] += demand.requests_per_second;
    });
    return sums;
}

std::map<account_id, double> fleet_membership::region_demands(time_point now) const {
    std::map<account_id, double> sums;
    for (const auto& [name, known] : m_members) {
        if (name == m_options.self || known.host.region != m_options.region || !is_reporting(known, now))
            continue;
        for (const account_demand& demand : known.report.demands)
            sums[demand.account] += demand.requests_per_second;
    }
    return sums;
}

std::map<account_id, double> fleet_membership::other_region_demands(time_point now) const {
    std::map<account_id, double> sums;
    for_each_current_region_report(now, [&](const region_report& aggregate) {
        for (const account_demand& demand : aggregate.demands)
            sums[demand.account] += demand.requests_per_second;
    });
    return sums;
}

double fleet_membership::region_fraction(const account_id& account,
                                         const std::map<account_id, double>& other_demands) const {
    double lowest = 0;
    for (std::size_t index = 0; index < m_region_sums.size(); ++index) {
        const auto found = m_region_sums[index].find(account);
        const double sum = found == m_region_sums[index].end() ? 0 : found->second;
        lowest = index == 0 ? sum : std::min(lowest, sum);
    }
    const auto found = other_demands.find(account);
    const double elsewhere = found == other_demands.end() ? 0 : found->second;
    if (elsewhere <= 0)
        return 1;
    return lowest / (lowest + elsewhere);
}

bool fleet_membership::has_other_region_demands(time_point now) const {
    std::map<region_id, bool> has_complete;
    for_each_current_region_report(now, [&](const region_report& aggregate) {
        bool& known = has_complete[aggregate.region];
        known = known || aggregate.is_complete;
    });
    return std::all_of(has_complete.begin(), has_complete.end(), [](const auto& entry) { return entry.second; });
}

std::optional<std::map<account_id, demand_view>> fleet_membership::demand_views(time_point now) const {
    std::map<account_id, demand_view> views;
    if (!uses_reporters()) {
        for (const auto& [account, others] : reported_demands(now))
            views[account].others = others;
        return views;
    }
    const region_update* update = current_region_update(now);
    if (update == nullptr && (!has_all_reports(now) || !has_other_region_demands(now)))
        return std::nullopt;
    if (!m_region_sums.empty()) {
        const std::map<account_id, double> other_demands = other_region_demands(now);
        for (const auto& [account, sum] : m_region_sums.front())
            views[account].region_fraction = region_fraction(account, other_demands);
        for (const auto& [account, others] : region_demands(now))
            views[account].others = others;
    }
    // A host that has just become its region's reporter receives reports from some hosts only; the last region update
    // covers the others.
    if (update != nullptr) {
        for (const auto& [account, view] : update->demands) {
            const auto [entry, created] = views.try_emplace(account, view);
            entry->second.others = std::max(entry->second.others, view.others);
        }
    }
    return views;
}

std::map<upstream_hash, double> fleet_membership::reported_loads(time_point now) const {
    std::map<upstream_hash, double> sums;
    for_each_source(now, [&](const auto& source) {
        for (const upstream_load& load : source.loads)
            sums[hash_of(load.upstream)] += load.in_flight;
    });
    if (const region_update* update = current_region_update(now)) {
        for (const auto& [upstream, in_flight] : update->loads) {
            double& sum = sums[upstream];
            sum = std::max(sum, static_cast<double>(in_flight));
        }
    }
    return sums;
}

std::optional<host_id> fleet_membership::best_informed_peer(store_position known_position, time_point now) const {
    std::optional<host_id> best;
    for (const auto& [name, known] : m_members) {
        if (name == m_options.self || known.report.store_position <= known_position || !is_live(known, now))
            continue;
        known_position = known.report.store_position;
        best = name;
    }
    return best;
}

std::vector<entry_host> fleet_membership::peers() const {
    std::vector<entry_host> others;
    for (const auto& [name, known] : m_members) {
        if (name != m_options.self)
            others.push_back(known.host);
    }
    return others;
}

std::set<region_id> fleet_membership::other_regions() const {
    std::set<region_id> regions;
    for (const auto& [name, known] : m_members) {
        if (known.host.region != m_options.region)
            regions.insert(known.host.region);
    }
    return regions;
}

bool fleet_membership::accepts_callers(const member& candidate, time_point now) const {
    if (candidate.host.name == m_options.self)
        return !m_leaving;
    if (!candidate.reported_at && !candidate.relayed_at)
        return !candidate.withdrawn_at && now - candidate.announced_at < m_options.first_report_timeout;
    return is_live(candidate, now) && !candidate.report.is_leaving;
}

std::vector<entry_host> fleet_membership::entry_hosts_for(const region_id& region, time_point now) const {
    std::vector<entry_host> in_region;
    std::vector<entry_host> all;
    for (const auto& [name, known] : m_members) {
        if (!accepts_callers(known, now))
            continue;
        all.push_back(known.host);
        if (known.host.region == region)
            in_region.push_back(known.host);
    }
    return in_region.empty() ? all : in_region;
}

double fleet_membership::room_share(time_point now) const {
    if (!m_room_share || now - m_room_share->computed_at >= m_options.room_share_lifetime)
        m_room_share = {compute_room_share(), now};
    return m_room_share->share;
}

double fleet_membership::compute_room_share() const {
    const auto own = m_members.find(m_options.self);
    // The room of this host is unknown until the store has confirmed its entry.
    if (own == m_members.end())
        return 1 / static_cast<double>(size());
    std::vector<entry_host> hosts;
    for (const auto& [name, known] : m_members)
        hosts.push_back(known.host);
    const std::vector<double> weights = m_rooms.weights(hosts);
    const double total = std::accumulate(weights.begin(), weights.end(), 0.0);
    return weights[static_cast<std::size_t>(std::distance(m_members.begin(), own))] / total;
}

} // namespace ragworthinge
