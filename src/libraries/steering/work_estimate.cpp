#include "steering/work_estimate.h"

namespace ragworthinge {

namespace {

/// Used for routes without a target.
constexpr std::chrono::milliseconds default_target{300};

duration scale(duration time, double factor) {
    return std::chrono::duration_cast<duration>(time * factor);
}

} // namespace

work_time work_estimate::estimate(const std::string& route, std::chrono::milliseconds target_latency) {
    const auto [entry, created] = m_routes.try_emplace(route);
    if (created) {
        const duration target = target_latency.count() > 0 ? target_latency : default_target;
        entry->second.known_object = scale(target, m_options.first_known_part);
        entry->second.unknown_object = scale(target, m_options.first_unknown_part);
    }
    return entry->second;
}

bool work_estimate::record(const std::string& route, duration taken) {
    const auto found = m_routes.find(route);
    if (found == m_routes.end())
        return false;
    work_time& work = found->second;
    const bool knew_object = taken < (work.known_object + work.unknown_object) / 2;
    duration& average = knew_object ? work.known_object : work.unknown_object;
    average += scale(taken - average, m_options.average_weight);
    return knew_object;
}

void work_estimate::record_size(const std::string& route, std::size_t bytes) {
    const auto found = m_routes.find(route);
    if (found == m_routes.end())
        return;
    double& average = found->second.answer_bytes;
    const auto size = static_cast<double>(bytes);
    average = average == 0 ? size : average + m_options.average_weight * (size - average);
}

} // namespace ragworthinge
