#pragma once

#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>

#include <concepts>
#include <cstddef>
#include <utility>

namespace ragworthinge {

/// Error code and transferred byte count of one Asio operation.
struct io_outcome {
    boost::system::error_code failure;
    std::size_t bytes = 0;

    bool failed() const noexcept { return static_cast<bool>(failure); }
};

/// State shared by a fiber that waits for an Asio operation and the completion handler that resumes it.
struct io_waiter {
    io_outcome outcome;
    boost::fibers::context* fiber = boost::fibers::context::active();
    bool done = false;
    bool suspended = false;
};

/// Completion handler that resumes the waiting fiber.
class io_handler {
public:
    explicit io_handler(io_waiter& waiter) noexcept : m_waiter(&waiter) {}

    void operator()(boost::system::error_code failure) { complete({failure, 0}); }

    template <std::integral Size>
    void operator()(boost::system::error_code failure, Size bytes) {
        complete({failure, static_cast<std::size_t>(bytes)});
    }

private:
    void complete(io_outcome outcome) {
        m_waiter->outcome = outcome;
        m_waiter->done = true;
        if (m_waiter->suspended)
            boost::fibers::context::active()->schedule(m_waiter->fiber);
    }

    io_waiter* m_waiter;
};

/// Starts an Asio operation and suspends the calling fiber until the completion handler has run.
/// `start` receives a handler that accepts (error_code) or (error_code, size).
/// The handler must run on the thread of the calling fiber.
template <class Start>
io_outcome await_io(Start&& start) {
    io_waiter waiter;
    std::forward<Start>(start)(io_handler(waiter));
    if (!waiter.done) {
        waiter.suspended = true;
        waiter.fiber->suspend();
    }
    return waiter.outcome;
}

} // namespace ragworthinge
