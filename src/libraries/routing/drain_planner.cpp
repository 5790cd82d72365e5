#include "routing/drain_planner.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace ragworthinge {

namespace {

using removed_upstreams = std::set<upstream_id>;

/// Slots of one service in one region that remain after upstreams were removed.
struct remaining_slots {
    double total = 0;
    double largest_domain = 0;
};

remaining_slots slots_after(const service_configuration& service, const region_id& region,
                            const removed_upstreams& removed) {
    std::map<failure_domain_id, double> domains;
    for (const upstream_configuration& upstream : service.upstreams) {
        const bool remains = upstream.state == upstream_state::active && !removed.contains(upstream.name);
        if (upstream.region == region && remains)
            domains[upstream.failure_domain] += upstream.slots;
    }
    remaining_slots result;
    for (const auto& [domain, slots] : domains) {
        result.total += slots;
        result.largest_domain = std::max(result.largest_domain, slots);
    }
    return result;
}

bool is_affected(const upstream_configuration& upstream, const drain_target& target) {
    switch (target.kind) {
    case drain_target_kind::upstream:
        return upstream.name == target.name;
    case drain_target_kind::failure_domain:
        return upstream.failure_domain == target.name;
    case drain_target_kind::region:
        return upstream.region == target.name;
    case drain_target_kind::host:
        return false;
    }
    return false;
}

class load_index {
public:
    explicit load_index(std::span<const service_load> loads) {
        for (const service_load& load : loads)
            m_loads[{load.service, load.region}] = load.busy_slots;
    }

    std::optional<double> find(const service_id& service, const region_id& region) const {
        const auto found = m_loads.find({service, region});
        return found == m_loads.end() ? std::nullopt : std::optional<double>(found->second);
    }

private:
    std::map<std::pair<service_id, region_id>, double> m_loads;
};

/// Returns the shortages of one service. Load that an affected region could not carry after the loss of one more
/// failure domain must fit into the spare capacity of the unaffected regions, which must also be able to lose one
/// failure domain. In a region with two failure domains, a drain of one can only be admitted this way.
std::vector<drain_shortage> find_shortages(const fleet_configuration& configuration,
                                           const service_configuration& service, const load_index& loads,
                                           const removed_upstreams& removed, const std::set<region_id>& drained) {
    std::vector<drain_shortage> shortages;
    double displaced = 0;
    double spare_elsewhere = 0;
    for (const region_configuration& region : configuration.regions) {
        const std::optional<double> load = loads.find(service.name, region.name);
        const remaining_slots before = slots_after(service, region.name, {});
        const remaining_slots after = slots_after(service, region.name, removed);
        const double usable = after.total - after.largest_domain;
        const bool is_drained = drained.contains(region.name);
        if (!is_drained && after.total == before.total) {
            spare_elsewhere += load ? std::max(0.0, usable - *load) : 0;
            continue;
        }
        if (!load)
            shortages.push_back({service.name, region.name, before.total, 0});
        else if (!is_drained && *load > after.total)
            shortages.push_back({service.name, region.name, *load, after.total});
        else
            displaced += is_drained ? *load : std::max(0.0, *load - usable);
    }
    if (displaced > spare_elsewhere)
        shortages.push_back({service.name, {}, displaced, spare_elsewhere});
    return shortages;
}

/// Returns whether the remaining entry hosts of a region are in at least two failure domains, if they were before.
bool hosts_remain(std::span<const host_location> hosts, const region_id& region, const std::set<host_id>& removed) {
    std::set<failure_domain_id> before;
    std::set<failure_domain_id> after;
    for (const host_location& host : hosts) {
        if (host.region != region)
            continue;
        before.insert(host.failure_domain);
        if (!removed.contains(host.host))
            after.insert(host.failure_domain);
    }
    const std::size_t needed = std::min<std::size_t>(before.size(), 2);
    return after.size() >= needed;
}

/// Adds the upstreams, hosts and regions of a drain target to the plan.
void add_removals(const fleet_configuration& configuration, std::span<const host_location> hosts,
                  const drain_target& target, drain_plan& plan) {
    for (const service_configuration& service : configuration.services) {
        for (const upstream_configuration& upstream : service.upstreams) {
            if (is_affected(upstream, target))
                plan.upstreams.insert(upstream.name);
        }
    }
    for (const host_location& host : hosts) {
        const bool named = target.kind == drain_target_kind::host && host.host == target.name;
        const bool in_domain = target.kind == drain_target_kind::failure_domain && host.failure_domain == target.name;
        if (named || in_domain)
            plan.hosts.insert(host.host);
    }
    if (target.kind == drain_target_kind::region)
        plan.regions.insert(target.name);
}

/// Admits one drain in addition to those in the plan, or records it as waiting.
void admit(const fleet_configuration& configuration, const load_index& loads, std::span<const host_location> hosts,
           const drain_configuration& drain, const drain_target& target, drain_plan& plan) {
    drain_plan attempt = plan;
    add_removals(configuration, hosts, target, attempt);

    std::vector<drain_shortage> shortages;
    for (const service_configuration& service : configuration.services) {
        for (drain_shortage& shortage :
             find_shortages(configuration, service, loads, attempt.upstreams, attempt.regions))
            shortages.push_back(std::move(shortage));
    }
    bool enough_hosts = true;
    if (target.kind == drain_target_kind::host) {
        for (const host_location& host : hosts)
            enough_hosts =
                enough_hosts && (host.host != target.name || hosts_remain(hosts, host.region, attempt.hosts));
    }

    // A running drain is never revoked, because its targets may already be switched off.
    const bool fits = shortages.empty() && enough_hosts;
    const bool admitted = fits || drain.state == drain_state::running;
    if (admitted)
        plan = std::move(attempt);
    (admitted ? plan.admitted : plan.waiting).push_back(drain.id);
    if (!shortages.empty())
        plan.shortages[drain.id] = std::move(shortages);
}

result<int> parse_digits(std::string_view text, std::size_t offset, std::size_t length, int low, int high) {
    int value = 0;
    const char* const begin = text.data() + offset;
    const auto [parse_end, parse_error] = std::from_chars(begin, begin + length, value);
    if (parse_error != std::errc{} || parse_end != begin + length || value < low || value > high)
        return failure(error_code::invalid_argument, "expected an RFC 3339 time in UTC, got: " + std::string(text));
    return value;
}

} // namespace

result<drain_target> parse_drain_target(std::string_view text) {
    constexpr std::array<std::pair<std::string_view, drain_target_kind>, 4> kinds{{
        {"upstream:", drain_target_kind::upstream},
        {"host:", drain_target_kind::host},
        {"failure_domain:", drain_target_kind::failure_domain},
        {"region:", drain_target_kind::region},
    }};
    for (const auto& [prefix, kind] : kinds) {
        if (text.starts_with(prefix) && text.size() > prefix.size())
            return drain_target{kind, std::string(text.substr(prefix.size()))};
    }
    return failure(error_code::invalid_argument, "unknown kind of drain target or empty name: " + std::string(text));
}

result<wall_time> parse_start_time(std::string_view text) {
    constexpr std::string_view pattern = "0000-00-00T00:00:00Z";
    bool matches = text.size() == pattern.size();
    for (std::size_t position = 0; matches && position < pattern.size(); ++position) {
        const bool digit = text[position] >= '0' && text[position] <= '9';
        matches = pattern[position] == '0' ? digit : text[position] == pattern[position];
    }
    if (!matches)
        return failure(error_code::invalid_argument, "expected an RFC 3339 time in UTC, got: " + std::string(text));

    BOOST_OUTCOME_TRY(const int year, parse_digits(text, 0, 4, 1970, 9999));
    BOOST_OUTCOME_TRY(const int month, parse_digits(text, 5, 2, 1, 12));
    BOOST_OUTCOME_TRY(const int day, parse_digits(text, 8, 2, 1, 31));
    BOOST_OUTCOME_TRY(const int hour, parse_digits(text, 11, 2, 0, 23));
    BOOST_OUTCOME_TRY(const int minute, parse_digits(text, 14, 2, 0, 59));
    BOOST_OUTCOME_TRY(const int second, parse_digits(text, 17, 2, 0, 59));
    const std::chrono::year_month_day date{std::chrono::year(year), std::chrono::month(static_cast<unsigned>(month)),
                                           std::chrono::day(static_cast<unsigned>(day))};
    if (!date.ok())
        return failure(error_code::invalid_argument, "no such day in the calendar: " + std::string(text));
    return wall_time(std::chrono::sys_days(date)) + std::chrono::hours(hour) + std::chrono::minutes(minute) +
           std::chrono::seconds(second);
}

result<drain_plan> drain_planner::plan(const fleet_configuration& configuration, std::span<const service_load> loads,
                                       std::span<const host_location> hosts, wall_time now) {
    std::vector<std::pair<const drain_configuration*, drain_target>> due;
    for (const drain_configuration& drain : configuration.drains) {
        BOOST_OUTCOME_TRY(drain_target target, parse_drain_target(drain.target));
        wall_time starts_at = now;
        if (!drain.starts_at.empty()) {
            BOOST_OUTCOME_TRY(starts_at, parse_start_time(drain.starts_at));
        }
        const bool open = drain.state == drain_state::planned || drain.state == drain_state::running;
        if (open && starts_at <= now)
            due.emplace_back(&drain, std::move(target));
    }
    std::stable_sort(due.begin(), due.end(), [](const auto& left, const auto& right) {
        const bool left_runs = left.first->state == drain_state::running;
        const bool right_runs = right.first->state == drain_state::running;
        return left_runs && !right_runs;
    });

    const load_index index(loads);
    drain_plan result;
    for (const auto& [drain, target] : due)
        admit(configuration, index, hosts, *drain, target, result);
    return result;
}

duration drain_planner::max_drain_duration(const service_configuration& service, duration grace) {
    return service.request_timeout + grace;
}

} // namespace ragworthinge
