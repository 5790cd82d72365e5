#pragma once

#include "base/time.h"

#include <chrono>
#include <optional>

namespace ragworthinge {

struct upstream_speed_options {
    /// Time constant with which a reported factor fades to the usual. It changes several times a second, and an
    /// upstream that is avoided reports nothing new.
    duration lifetime = std::chrono::milliseconds(400);
    /// Bounds of a reported factor. An upstream beyond them gets no requests anyway, and a wrong figure must not
    /// exclude it for good or make estimates vanish.
    double min_factor = 0.2;
    double max_factor = 20;
    /// Largest ratio of two factors that count as equal.
    double max_difference = 1.25;
};

/// How long work takes at an upstream now, as a multiple of the usual, from what the upstream reports.
///
/// Designed for upstreams that share their machines with other programs: a part of them is slow for some hundred
/// milliseconds, each in its turn.
class upstream_speed {
public:
    explicit upstream_speed(upstream_speed_options options = {}) : m_options(options) {}

    /// Records a positive, finite factor that came with a response.
    void record(double factor, time_point now);

    /// The factor that was last reported, if that was recently enough to hold now.
    std::optional<double> recent(time_point now) const;

    /// The factor over work that ends now, from the one that was recent at its start and the one reported at its end.
    /// Absent if it may have changed meanwhile: then neither says how long the work would have taken at the usual
    /// speed. Without news from the start it is the usual one if the end does not contradict it.
    std::optional<double> over(std::optional<double> at_start, time_point now) const;

    bool is_reported() const noexcept { return m_is_reported; }
    time_point reported_at() const noexcept { return m_reported_at; }

    /// The factor expected now; 1 without a report or with one that is much older than the lifetime.
    double factor(time_point now) const;

private:
    upstream_speed_options m_options;
    bool m_is_reported = false;
    double m_factor = 1;
    time_point m_reported_at;
};

} // namespace ragworthinge
