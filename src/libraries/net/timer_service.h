#pragma once

#include "base/time.h"

#include <functional>
#include <memory>

namespace ragworthinge {

class fiber_runtime;

/// Handle of a periodic callback; destroying it cancels the subscription.
class timer_subscription {
public:
    timer_subscription() = default;
    explicit timer_subscription(std::shared_ptr<bool> active) : m_active(std::move(active)) {}
    timer_subscription(const timer_subscription&) = delete;
    timer_subscription& operator=(const timer_subscription&) = delete;
    timer_subscription(timer_subscription&&) noexcept = default;
    timer_subscription& operator=(timer_subscription&& other) noexcept;
    ~timer_subscription();

private:
    std::shared_ptr<bool> m_active;
};

/// Calls subscribers periodically, each from a fiber of its own, so that a slow callback delays only its own next call.
class timer_service {
public:
    explicit timer_service(fiber_runtime& runtime) : m_runtime(runtime) {}

    /// Calls `callback` repeatedly with a pause of `period` before each call, starting after the first pause.
    [[nodiscard]] timer_subscription subscribe(duration period, std::function<void(time_point)> callback);

private:
    fiber_runtime& m_runtime;
};

} // namespace ragworthinge
