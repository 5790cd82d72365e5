#include "store/call_budget.h"

#include <algorithm>
#include <cassert>
#include <chrono>

namespace ragworthinge {

call_budget::call_budget(const call_budget_options& options, time_point now)
    : m_options(options), m_available(options.burst), m_refilled_at(now) {
    assert(options.rate_per_second > 0 && options.burst >= 1);
}

bool call_budget::try_spend(time_point now) {
    // Ignores clock readings older than the last one, so that no interval is refilled twice.
    const duration elapsed = std::max(duration::zero(), now - m_refilled_at);
    m_refilled_at = std::max(m_refilled_at, now);
    const double refill = std::chrono::duration<double>(elapsed).count() * m_options.rate_per_second;
    m_available = std::min(m_options.burst, m_available + refill);
    if (m_available < 1)
        return false;
    m_available -= 1;
    return true;
}

} // namespace ragworthinge
