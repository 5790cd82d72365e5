#include "steering/region_update_builder.h"

#include <algorithm>
#include <cmath>

namespace ragworthinge {

void region_update_builder::add_objects(const std::vector<known_object>& objects) {
    for (const known_object& known : objects)
        m_objects.push_back({hash_of(known.upstream), known.object});
    while (m_objects.size() > m_options.object_limit) {
        m_objects.pop_front();
        ++m_first_object;
    }
}

void region_update_builder::update_sums(const host_report& own, time_point now) {
    if (now - m_sums.made_at < m_options.sum_period)
        return;
    const auto views = m_membership.demand_views(now);
    m_sums = {.demands = views.value_or(std::map<account_id, demand_view>()),
              .loads = m_membership.reported_loads(now),
              .reports = m_membership.counted_reports(now),
              .timed_out = m_membership.timed_out_hosts(now),
              .leaving = m_membership.leaving_hosts(),
              .made_at = now,
              .has_demand = views.has_value()};
    for (const account_demand& demand : own.demands)
        m_sums.demands[demand.account].others += demand.requests_per_second;
    for (const upstream_load& load : own.loads)
        m_sums.loads[hash_of(load.upstream)] += load.in_flight;
}

region_update region_update_builder::make_update(const region_update_request& request, const host_report& own,
                                                 bool is_reporter, time_point now) {
    update_sums(own, now);
    const host_id& requester = request.report.host;
    region_update update;
    update.reporter = m_membership.options().self;
    update.reporter_incarnation = m_options.run;
    update.counts_requester = is_reporter && m_membership.is_live(requester, now);
    update.timed_out = m_sums.timed_out;
    update.leaving = m_sums.leaving;

    // The sums may still contain the previous report of the requesting host, so that is what has to be subtracted.
    const auto counted = m_sums.reports.find(requester);
    std::map<account_id, double> own_demands;
    std::map<upstream_hash, std::uint32_t> own_loads;
    if (counted != m_sums.reports.end()) {
        for (const account_demand& demand : counted->second.demands)
            own_demands[demand.account] = demand.requests_per_second;
        for (const upstream_load& load : counted->second.loads)
            own_loads[hash_of(load.upstream)] += load.in_flight;
    }
    for (const account_demand& demand : request.report.demands) {
        // While reports are missing, the sums are too low and the requesting host would take too large a share.
        if (!m_sums.has_demand)
            break;
        demand_view view = m_sums.demands[demand.account];
        view.others = std::max(0.0, view.others - own_demands[demand.account]);
        update.demands.emplace_back(demand.account, view);
    }
    update.loads.reserve(m_sums.loads.size());
    for (const auto& [upstream, in_flight] : m_sums.loads) {
        const auto own_load = own_loads.find(upstream);
        const double others = in_flight - (own_load == own_loads.end() ? 0 : own_load->second);
        if (others >= 1)
            update.loads.emplace_back(upstream, static_cast<std::uint32_t>(std::lround(others)));
    }

    const bool continues = request.object_incarnation == m_options.run;
    const std::uint64_t from = continues ? std::max(request.next_object, m_first_object) : m_first_object;
    update.next_object = m_first_object + m_objects.size();
    if (from < update.next_object)
        update.new_objects.assign(m_objects.begin() + static_cast<std::ptrdiff_t>(from - m_first_object),
                                  m_objects.end());
    update.crashes = m_crashes.notices_without(requester, now);
    return update;
}

} // namespace ragworthinge
