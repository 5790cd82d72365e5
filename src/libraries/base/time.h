#pragma once

#include <chrono>

namespace ragworthinge {

/// Clock of all decisions. The decision core receives time points as arguments and never reads the clock.
using monotonic_clock = std::chrono::steady_clock;
using time_point = monotonic_clock::time_point;
using duration = monotonic_clock::duration;

/// Clock of records for operators and of retention; not used for decisions.
using wall_clock = std::chrono::system_clock;
using wall_time = wall_clock::time_point;

} // namespace ragworthinge
