#include "observability/latency_summary.h"

#include <utility>

namespace ragworthinge {

void latency_summary::observe(std::chrono::nanoseconds latency) {
    const std::chrono::duration<double> seconds = latency;
    ++m_count;
    m_sum += seconds;
    m_current.observe(seconds.count());
}

void latency_summary::rotate() {
    m_complete = std::exchange(m_current, latency_window());
}

std::chrono::duration<double> latency_summary::quantile(std::size_t index) const {
    const latency_window& window = m_complete.count() > 0 ? m_complete : m_current;
    return std::chrono::duration<double>(window.quantile(index));
}

} // namespace ragworthinge
