#pragma once

#include "base/time.h"

namespace ragworthinge {

/// Time since boot, including suspended time (CLOCK_BOOTTIME), as a time point of the monotonic clock's type.
///
/// Budgets and state learned from other hosts expire by this clock: the steady clock stops while the system is
/// suspended, so a resumed host would treat an outdated share as current. The two clocks differ: never compare time
/// points of one with those of the other.
time_point boot_time_now();

} // namespace ragworthinge
