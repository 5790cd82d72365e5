#include "observability/latency_window.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <vector>

namespace ragworthinge {

namespace accumulators = boost::accumulators;

latency_window::latency_window()
    : m_estimators{estimator(accumulators::quantile_probability = latency_quantiles[0]),
                   estimator(accumulators::quantile_probability = latency_quantiles[1]),
                   estimator(accumulators::quantile_probability = latency_quantiles[2]),
                   estimator(accumulators::quantile_probability = latency_quantiles[3])} {}

void latency_window::observe(double seconds) {
    if (m_count < m_first_values.size())
        m_first_values[m_count] = seconds;
    ++m_count;
    for (estimator& each : m_estimators)
        each(seconds);
}

double latency_window::quantile(std::size_t index) const {
    assert(index < m_estimators.size());
    if (m_count == 0)
        return 0;
    if (m_count > m_first_values.size())
        return accumulators::p_square_quantile(m_estimators[index]);
    // A vector instead of the array, because g++ 12 with sanitizers warns about std::sort on a part of a small array.
    std::vector<double> sorted(m_first_values.begin(), m_first_values.begin() + static_cast<std::ptrdiff_t>(m_count));
    std::sort(sorted.begin(), sorted.end());
    const double rank = std::ceil(latency_quantiles[index] * static_cast<double>(m_count));
    return sorted[static_cast<std::size_t>(rank) - 1];
}

} // namespace ragworthinge
