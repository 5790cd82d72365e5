#include "routing/region_selector.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace ragworthinge {

namespace {

// Factor by which the cost of a full region exceeds its latency. Queueing grows near full load, so an empty region
// further away can be better than a nearby one that is almost full.
constexpr double full_region_latency_factor = 4;

} // namespace

region_selector::region_selector(region_id own_region, region_selector_options options)
    : m_own_region(std::move(own_region)), m_options(options) {}

void region_selector::set_regions(std::span<const region_candidate> regions) {
    const region_id current =
        m_current_index == no_region ? region_id{} : m_records[m_current_index].description.region;
    std::vector<region_record> records;
    records.reserve(regions.size());
    for (const region_candidate& item : regions) {
        const std::size_t previous_index = index_of(item.region);
        region_record record = previous_index == no_region ? region_record{} : m_records[previous_index];
        record.description = item;
        records.push_back(std::move(record));
    }

    m_records = std::move(records);
    m_indices.clear();
    for (std::size_t index = 0; index < m_records.size(); ++index)
        m_indices[m_records[index].description.region] = index;
    m_own_index = index_of(m_own_region);
    m_current_index = index_of(current);
}

std::size_t region_selector::index_of(const region_id& region) const {
    const auto position = m_indices.find(region);
    return position == m_indices.end() ? no_region : position->second;
}

void region_selector::update(const region_id& region, const region_capacity& capacity) {
    const std::size_t index = index_of(region);
    if (index == no_region)
        return;
    region_record& record = m_records[index];
    if (record.capacity && capacity.measured_at <= record.capacity->measured_at)
        return;
    record.capacity = capacity;
    // The measurement was taken between the previous update and now, so it includes at least the lower of both counts.
    record.outstanding_in_measurement = std::min(record.outstanding_at_update, record.outstanding);
    record.outstanding_at_update = record.outstanding;
    if (record.refused_at && capacity.measured_at > *record.refused_at)
        record.refused_at.reset();
}

void region_selector::record_refusal(const region_id& region, time_point now) {
    const std::size_t index = index_of(region);
    if (index == no_region)
        return;
    m_records[index].refused_at = now;
    record_end(region);
}

void region_selector::record_end(const region_id& region) {
    const std::size_t index = index_of(region);
    if (index != no_region)
        m_records[index].outstanding = std::max(0.0, m_records[index].outstanding - 1);
}

bool region_selector::is_known(const region_record& record, time_point now) const {
    return record.capacity && now - record.capacity->measured_at <= m_options.measurement_lifetime;
}

double region_selector::remaining_slots(const region_record& record, traffic_kind kind) const {
    const double domain_reserve = kind == traffic_kind::planned ? record.capacity->largest_domain_slots : 0;
    const double in_flight_of_others = std::max(0.0, record.capacity->in_flight - record.outstanding_in_measurement);
    return record.capacity->slots - domain_reserve - in_flight_of_others - record.outstanding;
}

bool region_selector::has_capacity(const region_record& record, traffic_kind kind, time_point now) const {
    if (record.link_exhausted)
        return false;
    if (is_known(record, now))
        return !record.refused_at && remaining_slots(record, kind) >= 1;
    const bool refused_lately = record.refused_at && now - *record.refused_at <= m_options.measurement_lifetime;
    return kind == traffic_kind::unplanned && !refused_lately &&
           record.outstanding < m_options.max_requests_at_unknown_region;
}

double region_selector::cost(const region_record& record, traffic_kind kind, time_point now) const {
    const double latency = std::chrono::duration<double>(record.description.one_way_latency).count();
    if (!is_known(record, now))
        return full_region_latency_factor * latency;
    const double free_fraction = std::clamp(remaining_slots(record, kind) / record.capacity->slots, 0.0, 1.0);
    return latency * (full_region_latency_factor - (full_region_latency_factor - 1) * free_fraction);
}

std::size_t region_selector::choose_remote(traffic_kind kind, time_point now) const {
    std::size_t best = no_region;
    bool best_known = false;
    double best_cost = std::numeric_limits<double>::infinity();
    for (std::size_t index = 0; index < m_records.size(); ++index) {
        const region_record& record = m_records[index];
        if (index == m_own_index || !has_capacity(record, kind, now))
            continue;
        const bool known = is_known(record, now);
        const double region_cost = cost(record, kind, now);
        const bool better = known != best_known ? known : region_cost < best_cost;
        if (best != no_region && !better)
            continue;
        best = index;
        best_known = known;
        best_cost = region_cost;
    }

    if (best == no_region || m_current_index == no_region || m_current_index == best)
        return best;
    const region_record& current = m_records[m_current_index];
    if (!has_capacity(current, kind, now) || (best_known && !is_known(current, now)))
        return best;
    const bool min_stay_elapsed = now - m_current_selected_at >= m_options.min_stay;
    const bool improves = best_cost < (1 - m_options.min_cost_improvement) * cost(current, kind, now);
    return min_stay_elapsed && improves ? best : m_current_index;
}

void region_selector::record_sent(std::size_t index, time_point now) {
    ++m_records[index].outstanding;
    if (index == m_current_index)
        return;
    m_current_index = index;
    m_current_selected_at = now;
}

std::optional<double> region_selector::remaining(const region_id& region, traffic_kind kind, time_point now) const {
    const std::size_t index = index_of(region);
    if (index == no_region || !is_known(m_records[index], now))
        return std::nullopt;
    if (m_records[index].refused_at)
        return 0;
    return std::max(0.0, remaining_slots(m_records[index], kind));
}

} // namespace ragworthinge
