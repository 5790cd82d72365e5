#include "requests/retry_budget.h"

#include <catch2/catch.hpp>

using namespace ragworthinge;
using namespace std::chrono_literals;

namespace {

/// Returns the retries granted to an account in one minute at the given request rate if every request needs one.
int retries_per_minute(int requests_per_second) {
    retry_budget budget;
    time_point now{1000s};
    int granted = 0;
    for (int second = 0; second < 60; ++second) {
        for (int request = 0; request < requests_per_second; ++request) {
            budget.record_request("north");
            granted += budget.try_spend("north", now) ? 1 : 0;
            now += duration(1s) / requests_per_second;
        }
    }
    return granted;
}

} // namespace

// Guards against retries that amplify an overload, and against denying all retries to an account with few requests.
TEST_CASE("retries are the larger of a tenth of the requests and one per second") {
    CHECK(retries_per_minute(1) == 60);
    CHECK(retries_per_minute(5) == 60);
    CHECK(retries_per_minute(100) == Approx(600).margin(12));
    CHECK(retries_per_minute(1000) == Approx(6000).margin(12));
}

// Guards against one account that uses the retries of another, and against unbounded accumulation.
TEST_CASE("budgets are separate and bounded") {
    retry_budget budget;
    const time_point now{1000s};
    for (int request = 0; request < 100'000; ++request)
        budget.record_request("north");
    int granted = 0;
    while (budget.try_spend("north", now))
        ++granted;
    CHECK(granted == 10);
    CHECK(budget.try_spend("gulf", now));
    CHECK_FALSE(budget.try_spend("gulf", now));
    CHECK(budget.try_spend("gulf", now + 1s));
    // An earlier time adds nothing to the budget.
    CHECK_FALSE(budget.try_spend("gulf", now - 5s));
    CHECK_FALSE(budget.try_spend("gulf", now + 1s));
}
