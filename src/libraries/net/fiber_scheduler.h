#pragma once

#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/scheduler.hpp>

#include <chrono>
#include <cstddef>

namespace ragworthinge {

/// FIFO scheduler for fibers of one thread that counts the ready fibers other than Boost.Fiber's dispatcher.
/// The event loop may block in Asio only while this count is zero.
class fiber_scheduler final : public boost::fibers::algo::algorithm {
public:
    void awakened(boost::fibers::context* fiber) noexcept override;
    boost::fibers::context* pick_next() noexcept override;
    bool has_ready_fibers() const noexcept override;
    void suspend_until(const std::chrono::steady_clock::time_point& time) noexcept override;
    void notify() noexcept override;

    /// Number of ready fibers, excluding Boost.Fiber's dispatcher fiber.
    std::size_t ready_count() const noexcept { return m_ready_count; }

private:
    boost::fibers::scheduler::ready_queue_type m_ready;
    std::size_t m_ready_count = 0;
};

} // namespace ragworthinge
