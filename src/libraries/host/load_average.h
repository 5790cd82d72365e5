#pragma once

#include "base/time.h"

namespace ragworthinge {

/// Exponentially weighted averages of the requests that one dispatcher sent to upstreams.
class load_average {
public:
    /// Takes the end of one dispatched request.
    void add(duration taken, bool failed) noexcept {
        const double taken_ms = std::chrono::duration<double, std::milli>(taken).count();
        m_latency_ms = m_known ? m_latency_ms + weight * (taken_ms - m_latency_ms) : taken_ms;
        m_errors += weight * ((failed ? 1.0 : 0.0) - m_errors);
        m_known = true;
    }

    bool known() const noexcept { return m_known; }
    double latency_ms() const noexcept { return m_latency_ms; }
    double error_ratio() const noexcept { return m_errors; }

private:
    static constexpr double weight = 0.05; ///< About the last twenty requests count.

    double m_latency_ms = 0;
    double m_errors = 0;
    bool m_known = false;
};

} // namespace ragworthinge
