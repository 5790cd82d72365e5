#include "net/fiber_scheduler.h"

#include <cassert>

namespace ragworthinge {

namespace {

bool is_dispatcher(const boost::fibers::context* fiber) noexcept {
    return fiber->is_context(boost::fibers::type::dispatcher_context);
}

} // namespace

void fiber_scheduler::awakened(boost::fibers::context* fiber) noexcept {
    assert(fiber != nullptr);
    fiber->ready_link(m_ready);
    if (!is_dispatcher(fiber))
        ++m_ready_count;
}

boost::fibers::context* fiber_scheduler::pick_next() noexcept {
    if (m_ready.empty())
        return nullptr;
    boost::fibers::context* fiber = &m_ready.front();
    m_ready.pop_front();
    if (!is_dispatcher(fiber))
        --m_ready_count;
    return fiber;
}

bool fiber_scheduler::has_ready_fibers() const noexcept {
    return !m_ready.empty();
}

// `suspend_until` and `notify` do nothing: the event loop fiber never blocks on a fiber primitive, so the dispatcher
// always finds a ready fiber, and Boost.Fiber calls these two functions only while the thread ends.
void fiber_scheduler::suspend_until(const std::chrono::steady_clock::time_point& /*time*/) noexcept {}

void fiber_scheduler::notify() noexcept {}

} // namespace ragworthinge
