#pragma once

#include "base/time.h"

namespace ragworthinge {

/// Records when the event loop last had a turn, so that the age of an event that it sees late can be bounded.
///
/// A process that gets no processor time sees a signal only when it runs again. The time at which it sees the signal
/// says nothing about when it was sent, but the signal cannot be older than a turn that did not see it.
class turn_record {
public:
    explicit turn_record(time_point now) : m_previous(now), m_latest(now) {}

    /// Records a turn. Turns must be far enough apart that an event that is pending at one is handled before the next.
    void record_turn(time_point now) {
        m_previous = m_latest;
        m_latest = now;
    }

    /// Returns the earliest time at which an event that is handled now can have occurred. The latest turn does not
    /// count: it may have run after the same pause, just before the event was handled.
    time_point earliest_occurrence() const noexcept { return m_previous; }

private:
    time_point m_previous;
    time_point m_latest;
};

} // namespace ragworthinge
