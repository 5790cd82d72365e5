#include "steering/cold_start_limiter.h"

#include "steering/steering_fixture.h"

#include <catch2/catch.hpp>

#include <map>

using namespace ragworthinge;
using namespace std::chrono_literals;

namespace {

/// Returns the number of requests that all hosts together send to one cold upstream in a second if each has requests
/// all the time.
std::size_t sends_in_second(std::size_t hosts, const std::vector<std::size_t>& without_newest) {
    const cold_start_limiter limiter;
    upstream_description description = make_upstream("cold");
    description.cold_remaining = 10s;
    std::size_t sends = 0;
    for (std::size_t index = 0; index < hosts; ++index) {
        fleet_membership membership = make_membership("host-" + std::to_string(index));
        for (std::size_t other = 0; other < hosts; ++other) {
            const bool unknown = other + 1 == hosts &&
                                 std::find(without_newest.begin(), without_newest.end(), index) != without_newest.end();
            if (!unknown)
                membership.announce(make_host("host-" + std::to_string(other)), test_start);
        }
        observed_upstream upstream(description, "gulf", test_start, {});
        for (duration time{0}; time < 1s; time += 10ms) {
            if (!limiter.allows(upstream, 3, membership, test_start + time))
                continue;
            ++sends;
            upstream.end_attempt(upstream.start_attempt(1s, test_start + time), attempt_end::answered, 0s,
                                 test_start + time);
        }
    }
    return sends;
}

} // namespace

// Guards against a cold upstream that crashes because each of many hosts sends it a few requests.
TEST_CASE("all hosts together stay within the rate that a cold upstream tolerates") {
    for (const std::size_t hosts : {1, 2, 12, 85}) {
        const std::size_t sends = sends_in_second(hosts, {});
        CHECK(sends >= 1);
        CHECK(sends <= 3);
    }
}

// Guards against more than two senders when the hosts' views of the fleet differ.
TEST_CASE("hosts with different views of the fleet stay within the platform's bound") {
    // The platform's bound: 3 requests/s times 1.5 plus 5.
    CHECK(sends_in_second(12, {0, 1, 2, 3, 4, 5}) <= 9);
}

TEST_CASE("an upstream that is not cold is not limited") {
    const cold_start_limiter limiter;
    observed_upstream upstream(make_upstream("warm"), "gulf", test_start, {});
    const fleet_membership membership = make_membership("host-0");
    for (int count = 0; count < 20; ++count) {
        CHECK(limiter.allows(upstream, 3, membership, test_start));
        upstream.start_attempt(1s, test_start);
    }
}
