#pragma once

#include "base/time.h"
#include "store/retry_backoff.h"

#include <cstdint>

namespace ragworthinge {

struct circuit_breaker_options {
    int failure_threshold = 5; ///< Consecutive failures that open the breaker.
    /// Time until a trial call. It grows with each failed trial, because the trial calls of a large fleet add load to a
    /// recovering store.
    retry_backoff_options open_time = {
        .base = std::chrono::milliseconds(250), .cap = std::chrono::seconds(2), .min_fraction = 0.5};
};

/// Stops calls to an endpoint after consecutive failures, and admits a single trial call after the open time.
class circuit_breaker {
public:
    circuit_breaker(const circuit_breaker_options& options, std::uint64_t seed);

    /// True if a call may start now: the breaker is closed, or it is time for a trial call.
    bool allows(time_point now) const noexcept;

    /// Records the start of a call that `allows` permitted. Its end must be reported with `succeeded` or `failed`.
    void begin() noexcept;

    void succeeded() noexcept;
    void failed(time_point now);

    bool is_open() const noexcept { return m_open; }

private:
    void open(time_point now);

    circuit_breaker_options m_options;
    retry_backoff m_open_time;
    time_point m_trial_at;
    int m_failures = 0;
    bool m_open = false;
    bool m_trial_running = false;
};

} // namespace ragworthinge
