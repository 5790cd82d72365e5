#pragma once

#include "base/time.h"
#include "steering/fleet_change.h"
#include "steering/sliding_window.h"
#include "steering/upstream_speed.h"

#include <algorithm>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

namespace ragworthinge {

struct observed_upstream_options {
    /// Time after a store outage within which lapsed registry entries have been renewed or their upstreams are gone.
    /// The platform states a bound of about two seconds.
    duration lapse_grace = std::chrono::milliseconds(2000);
    /// Weight of the newest sample in the averages of speed and failures.
    double average_weight = 0.3;
    /// Time constant with which old observations decay, since an avoided upstream yields no new samples.
    duration observation_lifetime = std::chrono::seconds(4);
    /// First and longest pause after a failed connection attempt.
    duration initial_pause = std::chrono::milliseconds(250);
    duration max_pause = std::chrono::seconds(2);
    /// Maximum number of recent objects that an upstream is assumed to know. The users' upstreams keep 20 to 25; the
    /// difference allows for requests of other hosts since their last report.
    std::size_t object_limit = 16;
    upstream_speed_options speed;
};

/// Outcome of a request to an upstream.
enum class attempt_end {
    answered,  ///< Complete response without a server error.
    failed,    ///< Server error, or a malformed or mismatched response.
    shed,      ///< Rejected without being executed.
    cancelled, ///< Cancelled by this host; yields no observation.
};

/// A request in flight at an upstream.
struct running_attempt {
    time_point sent_at;
    duration expected{0}; ///< Estimated processing time without waiting; at the usual speed if that is reported.
    std::optional<double> factor; ///< Factor of the upstream's speed when the request was sent, if recently reported.
};

/// An upstream with the observations of this host and its peers.
class observed_upstream {
public:
    using attempt_handle = std::list<running_attempt>::iterator;

    observed_upstream(upstream_description description, region_id region, time_point now,
                      const observed_upstream_options& options);

    const upstream_description& description() const noexcept { return m_description; }
    const region_id& region() const noexcept { return m_region; }

    /// Processes a newer announcement. A changed start time resets all observations.
    void announce(upstream_description description, region_id region, time_point now);

    /// Marks its registry entry as lost during a store outage. The upstream remains usable for the grace period after
    /// `return_time`, the end of the outage.
    void mark_lapsed(time_point return_time);

    bool is_lapsed() const noexcept { return m_usable_until.has_value(); }

    /// Marks that another upstream responded at its address although the registry still lists this one. It receives no
    /// requests until it is announced again.
    void mark_replaced() noexcept { m_is_replaced = true; }

    bool is_replaced() const noexcept { return m_is_replaced; }

    /// Marks that the upstream itself has said that it leaves. Only a later incarnation gets requests again, whatever
    /// the registry says of this one.
    void mark_leaving() noexcept { m_is_leaving = true; }

    bool is_leaving() const noexcept { return m_is_leaving; }

    /// Marks that the upstream wants no requests of this host until the given time. A shorter time does not end a
    /// longer one; only a later incarnation does.
    void mark_quiet(time_point until) noexcept { m_quiet_until = std::max(m_quiet_until, until); }

    time_point quiet_until() const noexcept { return m_quiet_until; }
    bool is_quiet(time_point now) const noexcept { return now < m_quiet_until; }

    /// Whether the upstream itself lets this host send requests now.
    bool accepts_requests(time_point now) const noexcept { return !m_is_leaving && !is_quiet(now); }

    /// Whether the grace period of a lapsed entry has passed.
    bool is_expired(time_point now) const noexcept { return m_usable_until && *m_usable_until <= now; }

    /// Whether new requests may be sent: not draining or leaving, not expired, not replaced, not quiet, and not paused
    /// after a failed connection attempt.
    bool is_usable(time_point now) const noexcept { return is_usable_except_quiet(now) && !is_quiet(now); }

    /// The same for an upstream that may be quiet.
    bool is_usable_except_quiet(time_point now) const noexcept;

    bool is_cold(time_point now) const noexcept { return now < m_cold_until; }
    void set_cold(duration remaining, time_point now);

    /// Number of requests sent during the last second, the interval for which the limits of cold upstreams are defined.
    std::size_t recent_sends(time_point now) { return m_sends.count(now); }

    attempt_handle start_attempt(duration expected, time_point now);
    void end_attempt(attempt_handle attempt, attempt_end end, duration uncertainty, time_point now);

    /// Number of requests of this host in flight.
    std::size_t own_in_flight() const noexcept { return m_running.size(); }

    /// Sets the number of requests of other hosts in flight, from the most recent source.
    void set_others_in_flight(double count) noexcept { m_others_in_flight = count; }
    double load() const noexcept { return static_cast<double>(m_running.size()) + m_others_in_flight; }

    /// Factor by which it takes longer than expected, at least 1. Includes attempts that are still running.
    ///
    /// For an upstream that reports its speed this is the reported factor times what the factor leaves unexplained. A
    /// single long attempt is then attributed to its request, not to the upstream. A reported factor below 1 counts as
    /// 1, so that hosts avoid slow upstreams but do not all prefer the same fast one.
    double slowdown(time_point now) const;

    /// Records the factor that the upstream reported with a response: the time that work takes, 1 being the usual.
    /// Call it before `end_attempt`.
    void record_speed(double factor, time_point now) { m_speed.record(factor, now); }

    const upstream_speed& speed() const noexcept { return m_speed; }

    /// Factor of the upstream's speed over an attempt that ends now; absent if it may have changed meanwhile.
    std::optional<double> speed_during(const running_attempt& attempt, time_point now) const {
        return m_speed.over(attempt.factor, now);
    }

    /// Fraction of recent requests that failed, 0 to 1.
    double failure_ratio(time_point now) const;

    /// Records a failed connection attempt. Returns how long no requests are sent to the upstream.
    duration record_unreachable(time_point now);
    void record_reachable() noexcept;
    bool is_paused(time_point now) const noexcept { return now < m_paused_until; }

    bool knows_object(std::uint64_t object) const { return m_objects.contains(object); }

    /// Records that the upstream has responded to a request for the object.
    void add_known_object(std::uint64_t object, time_point now);
    std::size_t known_objects() const noexcept { return m_objects.size(); }

    /// Returns the average expected processing time of this host's requests in flight, or the fallback if there are
    /// none.
    duration average_expected_processing(duration fallback) const;

private:
    double decay(time_point now) const;
    double slowdown_sample(const running_attempt& ended, duration uncertainty, time_point now);
    double running_slowdown(const running_attempt& attempt, time_point now) const;
    void reset_observations();

    upstream_description m_description;
    region_id m_region;
    observed_upstream_options m_options;
    time_point m_cold_until;
    std::optional<time_point> m_usable_until;
    bool m_is_replaced = false;
    bool m_is_leaving = false;
    time_point m_quiet_until;
    std::list<running_attempt> m_running;
    double m_others_in_flight = 0;
    upstream_speed m_speed;
    double m_slowdown = 1;
    double m_last_ratio = 1; ///< Time taken by the last answered attempt, as a multiple of the expected.
    double m_failure_ratio = 0;
    time_point m_observed_at;
    time_point m_paused_until;
    duration m_next_pause;
    sliding_window m_sends{std::chrono::seconds(1)};
    std::unordered_map<std::uint64_t, time_point> m_objects;
};

} // namespace ragworthinge
