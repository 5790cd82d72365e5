#include "steering/crash_tracker.h"
#include "steering/fleet_retry_budget.h"

#include "steering/steering_fixture.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace ragworthinge;
using namespace std::chrono_literals;

// Guards against a retry storm when all requests of all hosts fail and each needs a retry.
TEST_CASE("retries of all hosts stay within the fleet's budget") {
    constexpr std::size_t hosts = 12;
    constexpr double ratio = 0.2;
    constexpr double fixed_allowance = 64;
    std::vector<fleet_retry_budget> budgets(hosts,
                                            fleet_retry_budget({.ratio = ratio, .fixed_allowance = fixed_allowance}));
    std::vector<time_point> requests;
    std::vector<time_point> retries;
    for (duration time{0}; time < 40s; time += 10ms) {
        // The load moves from host to host and pauses at times.
        const bool is_busy = (time / 5s) % 3 != 2;
        const std::size_t host = static_cast<std::size_t>(time / 10ms) % (is_busy ? hosts : 3);
        const time_point now = test_start + time;
        if (is_busy || time % 100ms == 0s) {
            budgets[host].record_request("lots", now);
            requests.push_back(now);
        }
        if (budgets[host].try_spend("lots", hosts, now))
            retries.push_back(now);
    }
    CHECK_FALSE(retries.empty());
    const auto count = [](const std::vector<time_point>& times, time_point from) {
        return static_cast<double>(std::count_if(times.begin(), times.end(),
                                                 [&](time_point time) { return time >= from && time < from + 10s; }));
    };
    for (duration start{0}; start < 30s; start += 100ms) {
        const time_point from = test_start + start;
        CHECK(count(retries, from) <=
              ratio * std::max(count(requests, from), count(requests, from - 5s)) + fixed_allowance);
    }
}

// Guards against a request that crashes every upstream that runs it and is retried through any host.
TEST_CASE("a request that crashed three upstreams over all hosts is refused") {
    crash_tracker first;
    crash_tracker second;
    first.record_crash(99, test_start);
    first.record_crash(99, test_start + 1s);
    CHECK_FALSE(first.is_refused(99, test_start + 1s));
    second.record_crash(99, test_start + 2s);
    second.merge("first", first.notices(test_start + 2s), test_start + 2s);
    first.merge("second", second.notices(test_start + 2s), test_start + 2s);
    CHECK(first.is_refused(99, test_start + 3s));
    CHECK(second.is_refused(99, test_start + 3s));
    CHECK_FALSE(first.is_refused(98, test_start + 3s));
    CHECK_FALSE(first.is_refused(99, test_start + 90s));
}

// Guards against refusing requests that were running while an upstream crashed for another reason.
TEST_CASE("a successful response clears the crashes of a request") {
    crash_tracker crashes;
    crashes.record_crash(5, test_start);
    crashes.record_crash(5, test_start);
    crashes.record_answer(5);
    crashes.record_crash(5, test_start);
    CHECK_FALSE(crashes.is_refused(5, test_start));
}
