#include "routing/health_tracker.h"

#include <algorithm>

namespace ragworthinge {

health_tracker::health_tracker(health_tracker_options options)
    : m_options(options), m_next_ejection_duration(options.initial_ejection_duration) {}

void health_tracker::record_dispatch(time_point now) {
    if (health(now) == upstream_health::half_open)
        m_probe_sent = true;
}

void health_tracker::record_outcome(upstream_outcome outcome, time_point dispatched_at, time_point now) {
    const bool is_probe = m_ejected_until && dispatched_at >= *m_ejected_until;
    if (is_probe)
        m_probe_sent = false;

    switch (outcome) {
    case upstream_outcome::cancelled:
    case upstream_outcome::shed:
        return;
    case upstream_outcome::succeeded:
        record_success(dispatched_at, now);
        return;
    case upstream_outcome::error_response:
    case upstream_outcome::unreachable:
    case upstream_outcome::timed_out:
        record_failure(outcome, dispatched_at, now);
        return;
    }
}

void health_tracker::record_success(time_point dispatched_at, time_point now) {
    const duration latency = now - dispatched_at;
    const bool keeps_average = m_latency && now - *m_latency_observed <= m_options.observation_lifetime;
    if (keeps_average)
        *m_latency += std::chrono::duration_cast<duration>(m_options.average_weight * (latency - *m_latency));
    else
        m_latency = latency;
    m_latency_observed = now;
    m_last_observed = now;

    if (m_ejected_until) {
        if (dispatched_at < *m_ejected_until)
            return;
        m_ejected_until.reset();
        m_recovered_at = now;
        m_outcomes = 0;
        m_failure_ratio = 0;
    }
    const bool stable = !m_recovered_at || now - *m_recovered_at > m_options.max_ejection_duration;
    if (stable)
        m_next_ejection_duration = m_options.initial_ejection_duration;
    m_consecutive_failures = 0;
    m_failure_ratio *= 1 - m_options.average_weight;
    ++m_outcomes;
}

void health_tracker::record_failure(upstream_outcome outcome, time_point dispatched_at, time_point now) {
    m_last_observed = now;
    if (m_ejected_until) {
        if (dispatched_at >= *m_ejected_until)
            eject(outcome, now);
        return;
    }
    // Outcomes of requests that were sent before the recovery do not describe the recovered upstream.
    if (m_recovered_at && dispatched_at < *m_recovered_at)
        return;
    count_failure(outcome, now);
}

void health_tracker::count_failure(upstream_outcome outcome, time_point now) {
    ++m_consecutive_failures;
    ++m_outcomes;
    m_failure_ratio += m_options.average_weight * (1 - m_failure_ratio);
    const bool by_count = m_consecutive_failures >= m_options.ejection_consecutive_failures;
    const bool by_ratio =
        m_outcomes >= m_options.ejection_ratio_min_outcomes && m_failure_ratio >= m_options.ejection_failure_ratio;
    if (by_count || by_ratio)
        eject(outcome, now);
}

void health_tracker::eject(upstream_outcome cause, time_point now) {
    m_ejected_until = now + m_next_ejection_duration;
    m_ejection_cause = cause;
    m_next_ejection_duration = std::min(2 * m_next_ejection_duration, m_options.max_ejection_duration);
    m_consecutive_failures = 0;
    m_probe_sent = false;
    m_last_observed = now;
}

void health_tracker::record_report(const upstream_report& report) {
    if (!m_report || report.measured_at > m_report->measured_at)
        m_report = report;
}

bool health_tracker::has_recent_observation(time_point now) const {
    return m_last_observed && now - *m_last_observed <= m_options.observation_lifetime;
}

upstream_health health_tracker::health(time_point now) const {
    if (m_ejected_until)
        return now < *m_ejected_until ? upstream_health::ejected : upstream_health::half_open;
    return has_recent_observation(now) ? upstream_health::healthy : upstream_health::unknown;
}

std::optional<duration> health_tracker::latency(time_point now) const {
    if (!m_latency || now - *m_latency_observed > m_options.observation_lifetime)
        return std::nullopt;
    return m_latency;
}

bool health_tracker::is_reported_unhealthy(time_point now) const {
    if (!m_report || m_report->healthy || has_recent_observation(now))
        return false;
    return now - m_report->measured_at <= m_options.report_lifetime;
}

} // namespace ragworthinge
