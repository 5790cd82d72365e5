#include "routing_fixture.h"

#include <catch2/catch.hpp>

using namespace ragworthinge;

namespace {

void fail(health_tracker& tracker, int count, time_point now) {
    for (int index = 0; index < count; ++index)
        tracker.record_outcome(upstream_outcome::unreachable, now, now);
}

} // namespace

// Guards against a missing or expired observation being treated as healthy.
TEST_CASE("health is unknown if observations are missing or expired") {
    health_tracker tracker;
    REQUIRE(tracker.health(test_start) == upstream_health::unknown);
    REQUIRE_FALSE(tracker.latency(test_start).has_value());
    tracker.record_outcome(upstream_outcome::succeeded, test_start, test_start + 20ms);
    REQUIRE(tracker.health(test_start + 1s) == upstream_health::healthy);
    REQUIRE(tracker.latency(test_start + 1s) == 20ms);
    REQUIRE(tracker.health(test_start + 5min) == upstream_health::unknown);
    REQUIRE_FALSE(tracker.latency(test_start + 5min).has_value());
}

// Guards against outdated or wrong reports overriding this host's observations. With an unlimited lifetime, an old
// report still counts.
TEST_CASE("reports count only while they are current and there are no recent observations") {
    const bool unlimited_lifetime = GENERATE(false, true);
    health_tracker_options options;
    options.report_lifetime = unlimited_lifetime ? duration{24h} : options.report_lifetime;
    health_tracker tracker(options);
    tracker.record_report({false, test_start});
    tracker.record_report({true, test_start - 1s});
    REQUIRE(tracker.is_reported_unhealthy(test_start + 1s));
    REQUIRE(tracker.is_reported_unhealthy(test_start + 3min) == unlimited_lifetime);
    tracker.record_outcome(upstream_outcome::succeeded, test_start, test_start + 1s);
    REQUIRE_FALSE(tracker.is_reported_unhealthy(test_start + 1s));
}

// Guards against an unreachable upstream being probed at a constant rate or by more than one request.
TEST_CASE("ejection backs off exponentially and a single probe ends it") {
    health_tracker tracker;
    time_point now = test_start;
    fail(tracker, 3, now);
    for (const auto expected : {1s, 2s, 4s, 8s, 16s, 32s, 60s, 60s}) {
        REQUIRE(tracker.health(now + expected - 1ms) == upstream_health::ejected);
        now += expected;
        REQUIRE(tracker.health(now) == upstream_health::half_open);
        tracker.record_dispatch(now);
        REQUIRE(tracker.has_probe());
        tracker.record_outcome(upstream_outcome::succeeded, test_start, now); // Sent before the ejection.
        REQUIRE(tracker.health(now) == upstream_health::half_open);
        tracker.record_outcome(upstream_outcome::unreachable, now, now);
    }
    now += 60s;
    tracker.record_dispatch(now);
    tracker.record_outcome(upstream_outcome::succeeded, now, now + 10ms);
    REQUIRE(tracker.health(now + 10ms) == upstream_health::healthy);
    REQUIRE(tracker.recovered_at() == now + 10ms);
}

// Guards against a single poison request or shed requests ejecting an upstream, and against an upstream staying in use
// although most of its requests fail without many consecutive failures.
TEST_CASE("only repeated failures eject") {
    health_tracker tracker;
    for (int index = 0; index < 50; ++index)
        tracker.record_outcome(upstream_outcome::shed, test_start, test_start);
    fail(tracker, 2, test_start);
    REQUIRE(tracker.health(test_start) == upstream_health::healthy);

    for (int index = 0; index < 60 && tracker.health(test_start) == upstream_health::healthy; ++index) {
        tracker.record_outcome(upstream_outcome::succeeded, test_start, test_start);
        fail(tracker, 2, test_start);
    }
    REQUIRE(tracker.health(test_start) == upstream_health::ejected);
}
