#include "store/call_budget.h"

#include <catch2/catch.hpp>

using namespace ragworthinge;
using namespace std::chrono_literals;

// Guards against admitting more calls in any window than burst + rate x window.
TEST_CASE("the call budget admits the burst, then calls at the rate") {
    time_point now;
    call_budget budget({.rate_per_second = 10, .burst = 5}, now);
    int admitted = 0;
    for (int step = 0; step < 1000; ++step) {
        now += 1ms;
        admitted += budget.try_spend(now) ? 1 : 0;
    }
    CHECK(admitted >= 14);
    CHECK(admitted <= 15);
    CHECK_FALSE(budget.try_spend(now - 1h));
    CHECK_FALSE(budget.try_spend(now));
    now += 1h;
    for (int call = 0; call < 5; ++call)
        CHECK(budget.try_spend(now));
    CHECK_FALSE(budget.try_spend(now));
}
