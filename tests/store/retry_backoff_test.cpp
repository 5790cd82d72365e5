#include "store/retry_backoff.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace ragworthinge;
using namespace std::chrono_literals;

// Guards against hosts that retry in synchrony, and against delays above the cap.
TEST_CASE("retry delays cover their whole range and stop growing at the cap") {
    duration shortest = 1h;
    duration longest = 0s;
    for (std::uint64_t seed = 0; seed < 1000; ++seed) {
        retry_backoff backoff({.base = 10ms, .cap = 40ms}, seed);
        CHECK(backoff.next_delay() < 10ms);
        CHECK(backoff.next_delay() < 20ms);
        CHECK(backoff.next_delay() < 40ms);
        const duration late = backoff.next_delay();
        CHECK(late < 40ms);
        shortest = std::min(shortest, late);
        longest = std::max(longest, late);
        backoff.reset();
        CHECK(backoff.next_delay() < 10ms);
    }
    CHECK(shortest < 1ms);
    CHECK(longest > 39ms);
}
