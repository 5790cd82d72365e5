#include "steering/processing_time_estimator.h"

#include <algorithm>

namespace ragworthinge {

namespace {

/// Used for routes without a target.
constexpr std::chrono::milliseconds default_target{300};

duration scale(duration time, double factor) {
    return std::chrono::duration_cast<duration>(time * factor);
}

} // namespace

processing_time processing_time_estimator::estimate(const std::string& route,
                                                    std::chrono::milliseconds target_latency) {
    const auto [entry, created] = m_routes.try_emplace(route);
    if (created) {
        const duration target = target_latency.count() > 0 ? target_latency : default_target;
        entry->second.known_object = scale(target, m_options.initial_known_factor);
        entry->second.unknown_object = scale(target, m_options.initial_unknown_factor);
    }
    return entry->second;
}

bool processing_time_estimator::record(const std::string& route, duration taken) {
    const auto found = m_routes.find(route);
    if (found == m_routes.end())
        return false;
    processing_time& times = found->second;
    const bool knew_object = taken < (times.known_object + times.unknown_object) / 2;
    duration& average = knew_object ? times.known_object : times.unknown_object;
    average += scale(taken - average, m_options.average_weight);
    return knew_object;
}

void processing_time_estimator::record_at_usual_speed(const std::string& route, duration taken, bool expected_known) {
    const auto found = m_routes.find(route);
    if (found == m_routes.end())
        return;
    processing_time& times = found->second;
    const bool knew_object = expected_known || taken < (times.known_object + times.unknown_object) / 2;
    duration& average = knew_object ? times.known_object : times.unknown_object;
    const duration limit = scale(average, m_options.max_deviation);
    average += scale(std::clamp(taken - average, -limit, limit), m_options.average_weight);
}

void processing_time_estimator::record_size(const std::string& route, std::size_t bytes) {
    const auto found = m_routes.find(route);
    if (found == m_routes.end())
        return;
    double& average = found->second.answer_bytes;
    const auto size = static_cast<double>(bytes);
    average = average == 0 ? size : average + m_options.average_weight * (size - average);
}

} // namespace ragworthinge
