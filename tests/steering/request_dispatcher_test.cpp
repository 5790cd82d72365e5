#include "steering/request_dispatcher.h"

#include "steering/steering_fixture.h"

#include <catch2/catch.hpp>

using namespace ragworthinge;
using namespace std::chrono_literals;

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
