#pragma once

#include "base/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/fiber/fiber.hpp>

#include <functional>

namespace ragworthinge {

class fiber_scheduler;

/// Event loop that runs fibers and Asio handlers on the thread that calls `run`. Create at most one per thread.
class fiber_runtime {
public:
    fiber_runtime();
    fiber_runtime(const fiber_runtime&) = delete;
    fiber_runtime& operator=(const fiber_runtime&) = delete;
    ~fiber_runtime() = default;

    boost::asio::io_context& io() noexcept { return m_io; }

    /// Starts a detached fiber. Call only from the runtime's thread; other threads use `post`.
    void spawn(std::function<void()> body);

    /// Starts a detached fiber on the runtime's thread. Callable from any thread.
    void post(std::function<void()> body);

    /// Runs handlers and fibers until `stop` is called.
    void run();

    /// Ends `run` after the current handler. Callable from any thread.
    void stop();

    /// Suspends the calling fiber for the given time; other fibers and handlers continue to run.
    void sleep_for(duration time);

private:
    void run_ready_fibers();

    boost::asio::io_context m_io{1};
    fiber_scheduler* m_scheduler = nullptr;
    bool m_stopping = false;
};

} // namespace ragworthinge
