#pragma once

#include "base/time.h"
#include "routing/upstream_outcome.h"

#include <chrono>
#include <optional>

namespace ragworthinge {

struct health_tracker_options {
    /// Weight of the newest sample in the moving averages of latency and failures.
    double average_weight = 0.2;
    /// Number of consecutive failures that causes an ejection. It is low because an upstream that fails immediately has
    /// the fewest requests in flight and would attract traffic, but a single poison request does not reach it.
    unsigned ejection_consecutive_failures = 3;
    /// Average failure ratio that causes an ejection, for upstreams that fail often but not consecutively.
    double ejection_failure_ratio = 0.6;
    /// Minimum number of outcomes before the failure ratio is evaluated.
    unsigned ejection_ratio_min_outcomes = 20;
    duration initial_ejection_duration = std::chrono::seconds{1};
    duration max_ejection_duration = std::chrono::seconds{60};
    /// Maximum age of this host's own observations; older ones are ignored.
    duration observation_lifetime = std::chrono::seconds{30};
    /// Maximum age of a report, counted from its measurement; older ones are ignored.
    duration report_lifetime = std::chrono::seconds{5};
};

/// Health state of an upstream.
enum class upstream_health {
    unknown,  ///< No recent observation by this host.
    healthy,  ///< Recent observations by this host, and not ejected.
    ejected,  ///< Gets no requests until the ejection ends.
    half_open ///< The ejection period is over; the outcome of a single probe decides.
};

/// Health as reported by the upstream or the platform. It may be outdated or wrong.
struct upstream_report {
    bool healthy = true;
    time_point measured_at;
};

/// Tracks this host's observations of one upstream: latency, failures and ejections.
class health_tracker {
public:
    explicit health_tracker(health_tracker_options options = {});

    /// Records that a request was sent. In the half-open state this request is the probe.
    void record_dispatch(time_point now);

    /// Records the outcome of a request that was sent at `dispatched_at`. Outcomes of requests sent before an ejection
    /// ended neither extend nor end it. A shed request does not count as a failure.
    void record_outcome(upstream_outcome outcome, time_point dispatched_at, time_point now);

    /// Records a report. Reports that are not newer than the current one are ignored.
    void record_report(const upstream_report& report);

    /// Ejects the upstream regardless of its failure count and ratio.
    void eject(upstream_outcome cause, time_point now);

    upstream_health health(time_point now) const;

    /// Whether a half-open upstream is waiting for the outcome of its probe.
    bool has_probe() const noexcept { return m_probe_sent; }

    /// Moving average of the latency of recent successes, or nullopt.
    std::optional<duration> latency(time_point now) const;

    /// Whether a current report says unhealthy and this host has no recent observation, which would take precedence.
    bool is_reported_unhealthy(time_point now) const;

    /// Outcome that caused the latest ejection.
    upstream_outcome ejection_cause() const noexcept { return m_ejection_cause; }

    /// Time at which a successful probe ended the last ejection. The ramp starts at this time.
    std::optional<time_point> recovered_at() const noexcept { return m_recovered_at; }

    /// Moving average of the failure ratio, 0 to 1.
    double failure_ratio() const noexcept { return m_failure_ratio; }

private:
    bool has_recent_observation(time_point now) const;
    void record_success(time_point dispatched_at, time_point now);
    void record_failure(upstream_outcome outcome, time_point dispatched_at, time_point now);
    void count_failure(upstream_outcome outcome, time_point now);

    health_tracker_options m_options;
    std::optional<time_point> m_last_observed;
    std::optional<duration> m_latency;
    std::optional<time_point> m_latency_observed;
    double m_failure_ratio = 0;
    unsigned m_outcomes = 0;
    unsigned m_consecutive_failures = 0;
    std::optional<time_point> m_ejected_until;
    upstream_outcome m_ejection_cause = upstream_outcome::succeeded;
    duration m_next_ejection_duration;
    bool m_probe_sent = false;
    std::optional<time_point> m_recovered_at;
    std::optional<upstream_report> m_report;
};

} // namespace ragworthinge
