#include "base/boot_clock.h"

#include <ctime>

namespace ragworthinge {

time_point boot_time_now() {
    timespec time{};
    if (::clock_gettime(CLOCK_BOOTTIME, &time) != 0)
        return monotonic_clock::now();
    return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace ragworthinge
