#include "steering/upstream_speed.h"

#include <algorithm>
#include <cmath>

namespace ragworthinge {

void upstream_speed::record(double factor, time_point now) {
    m_factor = std::clamp(factor, m_options.min_factor, m_options.max_factor);
    m_reported_at = now;
    m_is_reported = true;
}

double upstream_speed::factor(time_point now) const {
    const std::chrono::duration<double> age = std::max(now - m_reported_at, duration::zero());
    return 1 + (m_factor - 1) * std::exp(-age / std::chrono::duration<double>(m_options.lifetime));
}

std::optional<double> upstream_speed::recent(time_point now) const {
    if (!m_is_reported || now - m_reported_at > m_options.lifetime / 2)
        return std::nullopt;
    return m_factor;
}

std::optional<double> upstream_speed::over(std::optional<double> at_start, time_point now) const {
    const double start = at_start.value_or(1);
    const double end = recent(now).value_or(start);
    if (std::max(start, end) > std::min(start, end) * m_options.max_difference)
        return std::nullopt;
    return (start + end) / 2;
}

} // namespace ragworthinge
