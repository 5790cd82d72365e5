#include "steering/stop_plan.h"

#include "steering/steering_fixture.h"

#include <catch2/catch.hpp>

using namespace ragworthinge;
using namespace std::chrono_literals;

TEST_CASE("a stop ends before the platform kills the process") {
    const stop_plan plan(test_start, 6s);
    CHECK(plan.exits_at() == test_start + 5700ms);
    CHECK(plan.interrupts_at() < plan.exits_at());
    CHECK(plan.accepts_until() == test_start + 2800ms);
}

// Guards against a listener that stays open in a long stop although no caller is told to use it any more, and against
// one that is open until the exit in a short stop.
TEST_CASE("connections are accepted as long as lookup answers name the host and no longer than half of the stop time") {
    CHECK(stop_plan(test_start, 60s).accepts_until() == test_start + 2800ms);
    CHECK(stop_plan(test_start, 1s).accepts_until() == test_start + 470ms);
    CHECK(stop_plan(test_start, 100ms).exits_at() == test_start);
}

// Guards against requests that are sent to an upstream and cut off at the exit.
TEST_CASE("a request may be sent if its time limit or a multiple of its expected time ends before the exit") {
    const stop_plan plan(test_start, 6s);
    const time_point after_exit = test_start + 20s;
    CHECK(plan.allows(after_exit, 1s, test_start));
    CHECK(plan.allows(after_exit, 1s, test_start + 2600ms));
    CHECK_FALSE(plan.allows(after_exit, 1s, test_start + 2700ms));
    CHECK_FALSE(plan.allows(after_exit, 2s, test_start));
    CHECK(plan.allows(test_start + 5s, 4s, test_start + 4s));
    CHECK_FALSE(plan.allows(test_start + 5650ms, 1s, test_start + 4s));
}

// Guards against trusting an estimate late in the stop: requests that take far longer than estimated are cut off.
TEST_CASE("an estimate counts only while connections are accepted") {
    const stop_plan plan(test_start, 10s);
    CHECK(plan.allows(test_start + 20s, 100ms, test_start + 2700ms));
    CHECK_FALSE(plan.allows(test_start + 20s, 100ms, test_start + 2900ms));
}
