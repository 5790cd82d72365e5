#include "steering/object_copies.h"

#include <algorithm>
#include <cmath>

namespace ragworthinge {

namespace {

double seconds(duration time) {
    return std::chrono::duration<double>(time).count();
}

/// Decayed count below which an object has had no request for several lifetimes.
constexpr double idle_count = 0.05;

} // namespace

double object_copies::decayed_count(const demand& known, time_point now) const {
    const duration age = std::max(now - known.counted_at, duration::zero());
    return known.count * std::exp(-seconds(age) / seconds(m_options.demand_lifetime));
}

void object_copies::record_request(std::uint64_t object, time_point now) {
    if (m_demands.size() >= m_options.object_limit && !m_demands.contains(object)) {
        remove_idle(now);
        if (m_demands.size() >= m_options.object_limit)
            return;
    }
    demand& known = m_demands[object];
    known.count = decayed_count(known, now) + 1;
    known.counted_at = now;
}

void object_copies::remove_idle(time_point now) {
    std::erase_if(m_demands, [&](const auto& entry) { return decayed_count(entry.second, now) < idle_count; });
}

std::size_t object_copies::wanted_copies(std::uint64_t object, const object_capacity& capacity, time_point now) const {
    const auto found = m_demands.find(object);
    if (found == m_demands.end())
        return 1;
    const double count = decayed_count(found->second, now);
    const double certain = std::max(0.0, count - m_options.count_uncertainty * std::sqrt(count));
    const double rate = certain / seconds(m_options.demand_lifetime) * static_cast<double>(capacity.hosts);
    const double occupied = rate * seconds(capacity.known_processing);
    const double allowed = m_options.slot_share * static_cast<double>(std::max(1U, capacity.slots));
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(occupied / allowed)));
}

bool object_copies::may_load(std::uint64_t object, time_point now) const {
    const auto found = m_demands.find(object);
    return found != m_demands.end() && now - found->second.loaded_at >= m_options.load_pause;
}

void object_copies::record_load(std::uint64_t object, time_point now) {
    const auto found = m_demands.find(object);
    if (found != m_demands.end())
        found->second.loaded_at = now;
}

} // namespace ragworthinge
