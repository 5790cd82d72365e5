#include "net/fiber_runtime.h"

#include "net/await_io.h"
#include "net/fiber_scheduler.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/operations.hpp>

#include <memory>
#include <utility>

namespace ragworthinge {

fiber_runtime::fiber_runtime() {
    auto scheduler = std::make_unique<fiber_scheduler>();
    m_scheduler = scheduler.get();
    boost::fibers::context::active()->get_scheduler()->set_algo(
        boost::fibers::algo::algorithm::ptr_t(scheduler.release()));
}

void fiber_runtime::spawn(std::function<void()> body) {
    boost::fibers::fiber(boost::fibers::launch::post, std::move(body)).detach();
}

void fiber_runtime::post(std::function<void()> body) {
    boost::asio::post(m_io, [this, body = std::move(body)]() mutable { spawn(std::move(body)); });
}

void fiber_runtime::run_ready_fibers() {
    while (m_scheduler->ready_count() > 0)
        boost::this_fiber::yield();
}

void fiber_runtime::run() {
    const auto work = boost::asio::make_work_guard(m_io);
    while (!m_stopping) {
        run_ready_fibers();
        if (m_stopping)
            return;
        m_io.run_one();
        m_io.poll();
    }
    // Boost.Fiber would hand fibers that are ready now to the thread's next runtime, which would resume them with
    // timers and sockets of this one.
    run_ready_fibers();
}

void fiber_runtime::stop() {
    boost::asio::post(m_io, [this] { m_stopping = true; });
}

void fiber_runtime::sleep_for(duration time) {
    boost::asio::steady_timer timer(m_io, time);
    await_io([&](auto handler) { timer.async_wait(std::move(handler)); });
}

} // namespace ragworthinge
