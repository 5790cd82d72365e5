#pragma once

#include "base/time.h"
#include "routing/upstream_outcome.h"

#include <chrono>
#include <optional>

namespace ragworthinge {

struct health_tracker_options {
    /// Weight of the newest latency and outcome in their averages.
    double average_weight = 0.2;
    /// Consecutive failures that eject. An upstream that fails at once has the fewest requests in flight and would
    /// attract the traffic, so the limit is low; one poison request alone stays below it.
    unsigned ejection_consecutive_failures = 3;
    /// Average failure ratio that ejects, for upstreams that fail often but not consecutively.
    double ejection_failure_ratio = 0.6;
    /// Outcomes needed before the ratio counts.
    unsigned ejection_ratio_min_outcomes = 20;
    duration initial_ejection_duration = std::chrono::seconds{1};
    duration max_ejection_duration = std::chrono::seconds{60};
    /// Own observations older than this are unknown.
    duration observation_lifetime = std::chrono::seconds{30};
    /// Reports measured longer ago than this are unknown.
    duration report_lifetime = std::chrono::seconds{5};
};

/// What is known about an upstream.
enum class upstream_health {
    unknown,  ///< No recent own observation.
    healthy,  ///< Recent own observations without ejection.
    ejected,  ///< Gets nothing until the ejection ends.
    half_open ///< The ejection has ended; a single probe decides.
};

/// Load and health as the upstream or the platform claims. It may lag or mislead.
struct upstream_report {
    bool healthy = true;
    time_point measured_at;
};

/// Own observations of one upstream and what follows from them.
class health_tracker {
public:
    explicit health_tracker(health_tracker_options options = {});

    /// Notes that a request was sent. In the half-open state it becomes the probe.
    void record_dispatch(time_point now);

    /// Notes how a request ended that was sent at `dispatched_at`. Outcomes of requests sent before an ejection do not
    /// extend or end it. A shed request is no failure.
    void record_outcome(upstream_outcome outcome, time_point dispatched_at, time_point now);

    /// Takes a report; one with an older measurement is ignored.
    void record_report(const upstream_report& report);

    /// Ejects although the failures alone would not.
    void eject(upstream_outcome cause, time_point now);

    upstream_health health(time_point now) const;

    /// Whether a half-open upstream is waiting for the outcome of its probe.
    bool has_probe() const noexcept { return m_probe_sent; }

    /// Average latency of recent successes, or nothing.
    std::optional<duration> latency(time_point now) const;

    /// Whether a current report says unhealthy and no recent own observation contradicts it.
    bool is_reported_unhealthy(time_point now) const;

    /// Outcome that caused the ejection.
    upstream_outcome ejection_cause() const noexcept { return m_ejection_cause; }

    /// End of the last ejection, if a probe ended it. The ramp starts there.
    std::optional<time_point> recovered_at() const noexcept { return m_recovered_at; }

    /// Average ratio of failures, 0 to 1.
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
