#pragma once

#include "observability/latency_window.h"

#include <chrono>
#include <cstdint>

namespace ragworthinge {

/// Latency summary of one series: count and sum since process start, quantiles of the last complete window.
class latency_summary {
public:
    void observe(std::chrono::nanoseconds latency);

    /// Ends the current window. Without windows, the quantiles of a long-running host would take days to show a change.
    void rotate();

    std::uint64_t count() const noexcept { return m_count; }
    std::chrono::duration<double> sum() const noexcept { return m_sum; }

    /// Estimate for `latency_quantiles[index]` over the last complete window, or over the current one while the last
    /// is empty; zero if both are.
    std::chrono::duration<double> quantile(std::size_t index) const;

private:
    std::uint64_t m_count = 0;
    std::chrono::duration<double> m_sum{0};
    latency_window m_current;
    latency_window m_complete;
};

} // namespace ragworthinge
