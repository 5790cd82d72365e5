#pragma once

#include "base/time.h"

#include <cstddef>
#include <deque>

namespace ragworthinge {

/// Counts the events within the last `length`. Stores one timestamp per event.
class sliding_window {
public:
    explicit sliding_window(duration length) : m_length(length) {}

    void record(time_point now) { m_times.push_back(now); }

    std::size_t count(time_point now) {
        while (!m_times.empty() && m_times.front() + m_length <= now)
            m_times.pop_front();
        return m_times.size();
    }

    /// Returns when the oldest event leaves the window, or `now` if it is empty.
    time_point next_expiry(time_point now) { return count(now) == 0 ? now : m_times.front() + m_length; }

private:
    duration m_length;
    std::deque<time_point> m_times;
};

} // namespace ragworthinge
