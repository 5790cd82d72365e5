#include "steering/observed_upstream.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ragworthinge {

namespace {

/// Lower bound for expected times, since shorter attempts say nothing about speed.
constexpr duration min_expected = std::chrono::milliseconds(1);

double ratio(duration part, duration whole) {
    return std::chrono::duration<double>(part) / std::chrono::duration<double>(std::max(whole, min_expected));
}

} // namespace

observed_upstream::observed_upstream(upstream_description description, region_id region, time_point now,
                                     const observed_upstream_options& options)
    : m_description(std::move(description)), m_region(std::move(region)), m_options(options), m_speed(options.speed),
      m_observed_at(now), m_next_pause(options.initial_pause) {
    set_cold(m_description.cold_remaining, now);
}

void observed_upstream::announce(upstream_description description, region_id region, time_point now) {
    const bool restarted =
        description.started_at != m_description.started_at || description.address != m_description.address;
    m_description = std::move(description);
    m_region = std::move(region);
    m_usable_until.reset();
    m_is_replaced = false;
    if (restarted)
        reset_observations();
    set_cold(m_description.cold_remaining, now);
}

void observed_upstream::reset_observations() {
    m_objects.clear();
    m_speed = upstream_speed(m_options.speed);
    m_slowdown = 1;
    m_last_ratio = 1;
    m_failure_ratio = 0;
    m_others_in_flight = 0;
    m_is_leaving = false;
    m_quiet_until = time_point();
    record_reachable();
}

void observed_upstream::mark_lapsed(time_point return_time) {
    if (!m_usable_until)
        m_usable_until = return_time + m_options.lapse_grace;
}

bool observed_upstream::is_usable_except_quiet(time_point now) const noexcept {
    return !m_description.is_draining && !m_is_leaving && !m_is_replaced && !is_expired(now) && !is_paused(now);
}

void observed_upstream::set_cold(duration remaining, time_point now) {
    if (remaining > duration::zero())
        m_cold_until = std::max(m_cold_until, now + remaining);
}

observed_upstream::attempt_handle observed_upstream::start_attempt(duration expected, time_point now) {
    m_sends.record(now);
    // The caller's estimate includes the present slowdown.
    if (m_speed.is_reported())
        expected = std::chrono::duration_cast<duration>(expected / slowdown(now));
    return m_running.insert(m_running.end(), running_attempt{now, expected, m_speed.recent(now)});
}

void observed_upstream::end_attempt(attempt_handle attempt, attempt_end end, duration uncertainty, time_point now) {
    const running_attempt ended = *attempt;
    m_running.erase(attempt);
    if (end == attempt_end::cancelled)
        return;

    const double weight = m_options.average_weight;
    const double decayed_slowdown = 1 + (m_slowdown - 1) * decay(now);
    const double decayed_failures = m_failure_ratio * decay(now);
    const double failure = end == attempt_end::answered ? 0 : 1;
    m_failure_ratio = decayed_failures + weight * (failure - decayed_failures);
    m_slowdown = decayed_slowdown;
    if (end == attempt_end::answered)
        m_slowdown += weight * (slowdown_sample(ended, uncertainty, now) - decayed_slowdown);
    m_observed_at = now;
}

double observed_upstream::slowdown_sample(const running_attempt& ended, duration uncertainty, time_point now) {
    const duration taken = std::max(now - ended.sent_at - uncertainty, duration::zero());
    const double observed = ratio(taken, ended.expected);
    if (!m_speed.is_reported())
        return std::max(1.0, observed);
    const std::optional<double> factor = speed_during(ended, now);
    if (!factor)
        return 1 + (m_slowdown - 1) * decay(now);
    const double unexplained = observed / *factor;
    // Two in a row say something about the upstream, one about its request.
    return std::max(1.0, std::min(unexplained, std::exchange(m_last_ratio, unexplained)));
}

double observed_upstream::decay(time_point now) const {
    return std::exp(-ratio(now - m_observed_at, m_options.observation_lifetime));
}

double observed_upstream::slowdown(time_point now) const {
    double max_slowdown = 1 + (m_slowdown - 1) * decay(now);
    for (const running_attempt& attempt : m_running)
        max_slowdown = std::max(max_slowdown, running_slowdown(attempt, now));
    return max_slowdown * std::max(1.0, m_speed.factor(now));
}

double observed_upstream::running_slowdown(const running_attempt& attempt, time_point now) const {
    // An upstream that has answered other requests meanwhile is at work.
    const time_point quiet_since = std::max(attempt.sent_at, m_speed.reported_at());
    return ratio(now - quiet_since, attempt.expected) / 2;
}

double observed_upstream::failure_ratio(time_point now) const {
    return m_failure_ratio * decay(now);
}

duration observed_upstream::record_unreachable(time_point now) {
    const duration pause = m_next_pause;
    m_paused_until = now + pause;
    m_next_pause = std::min(m_next_pause * 2, m_options.max_pause);
    return pause;
}

void observed_upstream::record_reachable() noexcept {
    m_paused_until = time_point();
    m_next_pause = m_options.initial_pause;
}

duration observed_upstream::average_expected_processing(duration fallback) const {
    if (m_running.empty())
        return fallback;
    duration total{0};
    for (const running_attempt& attempt : m_running)
        total += attempt.expected;
    return total / static_cast<int>(m_running.size());
}

void observed_upstream::add_known_object(std::uint64_t object, time_point now) {
    if (m_objects.size() >= m_options.object_limit && !m_objects.contains(object)) {
        const auto oldest =
            std::min_element(m_objects.begin(), m_objects.end(),
                             [](const auto& left, const auto& right) { return left.second < right.second; });
        m_objects.erase(oldest);
    }
    m_objects[object] = now;
}

} // namespace ragworthinge
