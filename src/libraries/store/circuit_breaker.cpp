#include "store/circuit_breaker.h"

#include <cassert>

namespace ragworthinge {

circuit_breaker::circuit_breaker(const circuit_breaker_options& options, std::uint64_t seed)
    : m_options(options), m_open_time(options.open_time, seed) {
    assert(options.failure_threshold > 0);
}

bool circuit_breaker::allows(time_point now) const noexcept {
    if (!m_open)
        return true;
    return !m_trial_running && now >= m_trial_at;
}

void circuit_breaker::begin() noexcept {
    if (m_open)
        m_trial_running = true;
}

void circuit_breaker::succeeded() noexcept {
    m_open = false;
    m_trial_running = false;
    m_failures = 0;
    m_open_time.reset();
}

void circuit_breaker::failed(time_point now) {
    ++m_failures;
    if (m_open && !m_trial_running)
        return; // The failed call started before the breaker opened, so it must not extend the open time.
    if (m_open || m_failures >= m_options.failure_threshold)
        open(now);
}

void circuit_breaker::open(time_point now) {
    m_open = true;
    m_trial_running = false;
    m_trial_at = now + m_open_time.next_delay();
}

} // namespace ragworthinge
