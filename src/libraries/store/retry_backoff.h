#pragma once

#include "base/time.h"

#include <cstdint>

namespace ragworthinge {

struct retry_backoff_options {
    duration base = std::chrono::milliseconds(10); ///< Upper bound of the first delay.
    duration cap = std::chrono::milliseconds(500); ///< Maximum upper bound of later delays.
    /// Lower bound of each delay as a fraction of its upper bound. Zero is full jitter, which spreads the retries of
    /// many hosts best; a positive value guarantees a minimum delay.
    double min_fraction = 0;
};

/// Exponential backoff with jitter: the upper bound doubles with each delay, and each delay is drawn uniformly between
/// its lower and its upper bound.
class retry_backoff {
public:
    retry_backoff(const retry_backoff_options& options, std::uint64_t seed);

    /// Draws the next delay.
    duration next_delay();

    /// Resets the upper bound to that of the first delay.
    void reset() noexcept { m_ceiling = m_options.base; }

private:
    double draw_fraction();

    retry_backoff_options m_options;
    duration m_ceiling;
    std::uint64_t m_random_state;
};

} // namespace ragworthinge
