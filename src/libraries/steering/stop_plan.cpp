#include "steering/stop_plan.h"

#include <algorithm>

namespace ragworthinge {

stop_plan::stop_plan(time_point ordered_at, duration stop_time, const stop_plan_options& options)
    : m_exits_at(ordered_at + std::max(stop_time - options.exit_margin, duration::zero())),
      m_expected_time_factor(options.expected_time_factor) {
    m_interrupts_at = std::max(ordered_at, m_exits_at - options.response_margin);
    const auto limit = std::chrono::duration_cast<duration>(stop_time * options.max_accepting_fraction);
    m_accepts_until = ordered_at + std::min(options.accepting_time, limit);
}

bool stop_plan::allows(time_point answer_by, duration expected, time_point now) const noexcept {
    if (answer_by <= m_interrupts_at)
        return true;
    const auto reserved = std::chrono::duration_cast<duration>(expected * m_expected_time_factor);
    return now < m_accepts_until && now + reserved <= m_interrupts_at;
}

} // namespace ragworthinge
