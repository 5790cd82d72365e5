#include "store/circuit_breaker.h"

#include <catch2/catch.hpp>

using namespace ragworthinge;
using namespace std::chrono_literals;

// Guards against a breaker that never admits a call again, and against one that admits all calls at once.
TEST_CASE("an open breaker admits one trial call at a time, with a longer pause after each failed one") {
    circuit_breaker breaker({.failure_threshold = 2, .open_time = {.base = 100ms, .cap = 1s, .min_fraction = 1}}, 1);
    time_point now;
    breaker.failed(now);
    CHECK(breaker.allows(now));
    breaker.failed(now);
    CHECK_FALSE(breaker.allows(now + 99ms));
    now += 100ms;
    REQUIRE(breaker.allows(now));
    breaker.begin();
    CHECK_FALSE(breaker.allows(now));
    breaker.failed(now);
    CHECK_FALSE(breaker.allows(now + 199ms));
    now += 200ms;
    REQUIRE(breaker.allows(now));
    breaker.begin();
    breaker.succeeded();
    breaker.failed(now);
    CHECK(breaker.allows(now));
}

// Guards against the late failure of an earlier call extending the open time.
TEST_CASE("the failure of a call that started before the breaker opened has no effect") {
    circuit_breaker breaker({.failure_threshold = 1, .open_time = {.base = 100ms, .cap = 1s, .min_fraction = 1}}, 1);
    const time_point now;
    breaker.failed(now);
    breaker.failed(now + 50ms);
    CHECK(breaker.allows(now + 100ms));
}
