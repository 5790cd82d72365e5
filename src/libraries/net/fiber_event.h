#pragma once

#include <boost/fiber/context.hpp>

namespace ragworthinge {

/// One-shot event on which one fiber waits until another fiber or handler of the same thread sets it.
class fiber_event {
public:
    fiber_event() = default;
    fiber_event(const fiber_event&) = delete;
    fiber_event& operator=(const fiber_event&) = delete;
    ~fiber_event() = default;

    /// Suspends the calling fiber until the event is set; returns immediately if it already is.
    void wait() {
        if (m_set)
            return;
        m_waiting = boost::fibers::context::active();
        m_waiting->suspend();
    }

    /// Sets the event and resumes the waiting fiber. Further calls have no effect.
    void set() {
        if (m_set)
            return;
        m_set = true;
        if (m_waiting != nullptr)
            boost::fibers::context::active()->schedule(m_waiting);
    }

    bool is_set() const noexcept { return m_set; }

private:
    boost::fibers::context* m_waiting = nullptr;
    bool m_set = false;
};

} // namespace ragworthinge
