#pragma once

#include "base/time.h"

#include <chrono>

namespace ragworthinge {

struct stop_plan_options {
    /// Time for which callers may still send requests here: the lifetime of the lookup answers that named this host,
    /// plus the time until the other hosts have stopped naming it.
    duration accepting_time = std::chrono::milliseconds(2800);
    /// Upper limit of the accepting time, as a fraction of the stop time.
    double max_accepting_fraction = 0.47;
    /// The process exits this long before the end of the stop time, after which the platform kills it.
    duration exit_margin = std::chrono::milliseconds(300);
    /// Time before the exit that is left for the responses to requests that are interrupted.
    duration response_margin = std::chrono::milliseconds(100);
    /// Multiple of the expected time that must be left for a request whose own time limit is after the exit. The
    /// longest processing times are about three times the mean.
    double expected_time_factor = 3;
};

/// What a stopping host still does for requests, from the order to stop until its exit. A request that the host has
/// read gets a response before the exit: one that an upstream cannot be expected to answer by then is refused while it
/// is still true that it has not run, so that its caller can send it to another host.
class stop_plan {
public:
    /// `ordered_at` is the earliest time at which the order can have been given. The platform counts the stop time from
    /// the order, so a time after it would let the plan end later than the process.
    stop_plan(time_point ordered_at, duration stop_time, const stop_plan_options& options = {});

    /// When the listener and the idle connections close.
    time_point accepts_until() const noexcept { return m_accepts_until; }

    /// When requests that are still at an upstream are interrupted.
    time_point interrupts_at() const noexcept { return m_interrupts_at; }

    time_point exits_at() const noexcept { return m_exits_at; }

    /// Whether a request may be sent to an upstream, or wait for one. `expected` is the time until its response.
    ///
    /// A request whose own time limit ends before the exit always may. Any other depends on an estimate, which is
    /// trusted only while callers still find this host in their lookup answers, and only with a reserve.
    bool allows(time_point answer_by, duration expected, time_point now) const noexcept;

private:
    time_point m_accepts_until;
    time_point m_interrupts_at;
    time_point m_exits_at;
    double m_expected_time_factor;
};

} // namespace ragworthinge
