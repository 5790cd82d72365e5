#include "steering/request_dispatcher.h"

#include "steering/steering_fixture.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>

using namespace ragworthinge;
using namespace std::chrono_literals;

namespace {

/// A host of a fleet with one upstream.
struct dispatcher_fixture {
    dispatcher_fixture()
        : fleet(make_fleet()), membership(make_membership("host")),
          dispatcher({.placement = {.own_region = "gulf"}}, fleet, membership) {
        fleet.apply(configuration_submitted{make_configuration()}, test_start);
        fleet.apply(upstream_announced{make_upstream("one")}, test_start);
    }

    /// Makes the upstream cold for longer than any stop, with the rate limit of this second used up.
    void make_cold(time_point now) {
        constexpr int requests_per_second = 3;
        observed_upstream& upstream = *fleet.find_upstream("one");
        upstream.set_cold(1min, now);
        for (int count = 0; count < requests_per_second; ++count)
            upstream.end_attempt(upstream.start_attempt(270ms, now), attempt_end::cancelled, 0s, now);
    }

    dispatch_request make_dispatch_request(time_point answer_by) const {
        return {.placement = {.route = &route,
                              .service = "lots",
                              .object = {},
                              .account_regions = nullptr,
                              .tried = {},
                              .answer_by = answer_by},
                .target_at = test_start + 600ms};
    }

    void enqueue(waiting_ticket ticket, time_point answer_by, time_point now) {
        dispatcher.enqueue(
            ticket, make_dispatch_request(answer_by), now,
            [this](waiting_ticket ended, const dispatch_decision& decision) { outcomes[ended] = decision; });
    }

    steering_route route = make_route("lots");
    fleet_state fleet;
    fleet_membership membership;
    request_dispatcher dispatcher;
    std::map<waiting_ticket, dispatch_decision> outcomes;
};

} // namespace

// Guards against callers that retry at the same time, and against a Retry-After that outlasts the overload by minutes.
TEST_CASE("refused callers get different Retry-After times with an upper bound") {
    fleet_state fleet = make_fleet();
    fleet_membership membership = make_membership("host");
    fleet.apply(configuration_submitted{make_configuration()}, test_start);
    fleet.apply(upstream_announced{make_upstream("one")}, test_start);
    fleet.find_upstream("one")->set_others_in_flight(100);
    request_dispatcher dispatcher({.placement = {.own_region = "gulf"}}, fleet, membership);
    const steering_route route = make_route("lots");
    const auto refuse = [&](time_point now) {
        dispatch_request request;
        request.placement = {.route = &route,
                             .service = "lots",
                             .object = 1,
                             .account_regions = nullptr,
                             .tried = {},
                             .answer_by = now + 300ms};
        const dispatch_decision decision = dispatcher.decide(request, now);
        REQUIRE(decision.type == dispatch_decision::kind::refuse);
        return decision.retry_after;
    };
    const duration first = refuse(test_start);
    CHECK(first >= 100ms);
    CHECK(refuse(test_start) > first);
    for (int count = 0; count < 500; ++count)
        CHECK(refuse(test_start) <= 4s);
    // After the overload, the times start from the minimum again.
    CHECK(refuse(test_start + 1min) <= first);
}

// Guards against a host that exits with requests in its queue: they did not run, but their callers do not learn it.
TEST_CASE("requests that wait for a cold upstream are refused while a stopping host can still answer") {
    dispatcher_fixture host;
    host.make_cold(test_start);
    host.enqueue(1, test_start + 8s, test_start);
    host.enqueue(2, test_start + 4s, test_start);
    const stop_plan plan(test_start, 6s);
    host.dispatcher.begin_stop(plan, test_start);
    CHECK(host.dispatcher.waiting() == 2);

    host.make_cold(plan.accepts_until());
    host.dispatcher.serve_waiting(plan.accepts_until());
    REQUIRE(host.outcomes.size() == 1);
    CHECK(host.outcomes[1].type == dispatch_decision::kind::refuse);
    CHECK(host.outcomes[1].reason == std::string("this host is stopping"));
    CHECK(host.outcomes[1].retry_after > 0s);
    // The time limit of the other one ends before the exit.
    CHECK(host.dispatcher.waiting() == 1);
    host.make_cold(test_start + 4s);
    host.dispatcher.serve_waiting(test_start + 4s);
    CHECK(host.dispatcher.waiting() == 0);
}

TEST_CASE("waiting requests that a short stop cannot serve are refused as soon as it begins") {
    dispatcher_fixture host;
    host.make_cold(test_start);
    host.enqueue(1, test_start + 8s, test_start);
    host.dispatcher.begin_stop(stop_plan(test_start, 500ms), test_start);
    CHECK(host.dispatcher.waiting() == 0);
    CHECK(host.outcomes[1].type == dispatch_decision::kind::refuse);
}

TEST_CASE("a stopping host refuses at once what would have to wait for too long") {
    dispatcher_fixture host;
    host.make_cold(test_start);
    const dispatch_request request = host.make_dispatch_request(test_start + 8s);
    CHECK(host.dispatcher.decide(request, test_start).type == dispatch_decision::kind::wait);
    const stop_plan plan(test_start, 6s);
    host.dispatcher.begin_stop(plan, test_start);
    host.make_cold(plan.accepts_until());
    CHECK(host.dispatcher.decide(request, plan.accepts_until()).type == dispatch_decision::kind::refuse);
}

// Guards against requests that a stopping host passes on and cuts off at its exit, because they take far longer than
// expected.
TEST_CASE("a stopping host sends only requests that end before its exit") {
    dispatcher_fixture host;
    const stop_plan plan(test_start, 6s);
    host.dispatcher.begin_stop(plan, test_start);
    const auto decide = [&](time_point answer_by, time_point now) {
        return host.dispatcher.decide(host.make_dispatch_request(answer_by), now);
    };
    const time_point late = plan.accepts_until();
    CHECK(decide(test_start + 8s, test_start).type == dispatch_decision::kind::send);
    CHECK(decide(test_start + 8s, late).type == dispatch_decision::kind::refuse);
    CHECK(decide(test_start + 8s, late).reason == std::string("this host is stopping"));
    CHECK(decide(late + 2s, late).type == dispatch_decision::kind::send);
}

// Guards against waiting requests that get an upstream shortly before the exit.
TEST_CASE("a waiting request is not sent when its response would come after the exit") {
    dispatcher_fixture host;
    host.make_cold(test_start);
    host.enqueue(1, test_start + 8s, test_start);
    const stop_plan plan(test_start, 6s);
    host.dispatcher.begin_stop(plan, test_start);
    // The rate limit of the cold upstream has room again.
    host.dispatcher.serve_waiting(plan.accepts_until());
    REQUIRE(host.outcomes.size() == 1);
    CHECK(host.outcomes[1].type == dispatch_decision::kind::refuse);
}

// Guards against callers that are told to return while all upstreams still want no requests, and against all of them
// returning at the same time.
TEST_CASE("while all upstreams are quiet, requests are refused until the first of them accepts requests") {
    dispatcher_fixture host;
    host.fleet.apply(upstream_announced{make_upstream("two")}, test_start);
    host.fleet.find_upstream("one")->mark_quiet(test_start + 20s);
    CHECK(host.dispatcher.decide(host.make_dispatch_request(test_start + 1s), test_start).type ==
          dispatch_decision::kind::send);
    host.fleet.find_upstream("two")->mark_quiet(test_start + 2s);
    const auto refuse = [&](time_point now) {
        const dispatch_decision decision = host.dispatcher.decide(host.make_dispatch_request(now + 8s), now);
        CHECK(decision.type == dispatch_decision::kind::refuse);
        CHECK(decision.reason == std::string("all usable upstreams asked for quiet"));
        return decision.retry_after;
    };
    const duration first = refuse(test_start);
    CHECK(first >= 2s);
    CHECK(refuse(test_start) > first);
    host.fleet.find_upstream("two")->mark_quiet(test_start + 10s);
    CHECK(refuse(test_start) >= 10s);
    CHECK(host.dispatcher.decide(host.make_dispatch_request(test_start + 18s), test_start + 10s).type ==
          dispatch_decision::kind::send);
}

TEST_CASE("a waiting request is refused at once when the last upstream leaves or asks for quiet") {
    for (const bool leaves : {true, false}) {
        dispatcher_fixture host;
        host.make_cold(test_start);
        host.enqueue(1, test_start + 8s, test_start);
        host.dispatcher.serve_waiting(test_start);
        REQUIRE(host.dispatcher.waiting() == 1);
        if (leaves)
            host.fleet.find_upstream("one")->mark_leaving();
        else
            host.fleet.find_upstream("one")->mark_quiet(test_start + 5s);
        host.dispatcher.serve_waiting(test_start + 50ms);
        CHECK(host.dispatcher.waiting() == 0);
        CHECK(host.outcomes[1].type == dispatch_decision::kind::refuse);
        CHECK(host.outcomes[1].retry_after >= (leaves ? duration(100ms) : duration(4950ms)));
    }
}

// Guards against requests that may use all regions taking the room of those that may use only one.
TEST_CASE("requests leave a region that is short of room to those that are bound to it") {
    dispatcher_fixture host;
    host.fleet.apply(upstream_announced{make_upstream("far", "delta-a")}, test_start);
    host.route.prefers_known_object = false;
    const std::vector<region_id> home{"gulf"};
    dispatch_request bound = host.make_dispatch_request(test_start + 8s);
    bound.placement.account_regions = &home;
    bound.account = "bound";
    const auto region_of_unbound = [&](time_point now) {
        const dispatch_decision decision = host.dispatcher.decide(host.make_dispatch_request(now + 8s), now);
        return decision.type == dispatch_decision::kind::send ? decision.placed.upstream->region() : region_id();
    };
    CHECK(region_of_unbound(test_start) == "gulf");

    // The upstream of the region has twice as many requests as slots, and this host as many of them as it may have.
    host.fleet.find_upstream("one")->set_others_in_flight(8);
    std::size_t refused = 0;
    for (int count = 0; count < 100; ++count) {
        const dispatch_decision decision = host.dispatcher.decide(bound, test_start + count * 50ms);
        if (decision.type == dispatch_decision::kind::send)
            decision.placed.room->record_start(test_start + count * 50ms);
        refused += decision.type == dispatch_decision::kind::refuse ? 1 : 0;
    }
    CHECK(refused > 50);
    host.fleet.find_upstream("one")->set_others_in_flight(0);
    CHECK(region_of_unbound(test_start + 5s) == "delta");
    CHECK(region_of_unbound(test_start + 1min) == "gulf");
}
