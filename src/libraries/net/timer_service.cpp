#include "net/timer_service.h"

#include "net/fiber_runtime.h"

#include <utility>

namespace ragworthinge {

timer_subscription& timer_subscription::operator=(timer_subscription&& other) noexcept {
    if (m_active)
        *m_active = false;
    m_active = std::move(other.m_active);
    return *this;
}

timer_subscription::~timer_subscription() {
    if (m_active)
        *m_active = false;
}

timer_subscription timer_service::subscribe(duration period, std::function<void(time_point)> callback) {
    auto active = std::make_shared<bool>(true);
    m_runtime.spawn([this, active, period, callback = std::move(callback)] {
        for (;;) {
            m_runtime.sleep_for(period);
            if (!*active)
                return;
            callback(monotonic_clock::now());
        }
    });
    return timer_subscription(std::move(active));
}

} // namespace ragworthinge
