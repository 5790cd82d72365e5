#include "steering/fleet_state.h"

#include "steering/steering_fixture.h"

#include <catch2/catch.hpp>

using namespace ragworthinge;
using namespace std::chrono_literals;

// Guards against reverting to an older configuration after a stale read or a peer's old snapshot.
TEST_CASE("an older configuration is ignored") {
    fleet_state fleet = make_fleet();
    CHECK(fleet.apply(configuration_submitted{make_configuration(7)}, test_start) == change_effect::applied);
    CHECK(fleet.apply(configuration_submitted{make_configuration(5)}, test_start) == change_effect::outdated);
    CHECK(fleet.apply(configuration_submitted{make_configuration(7)}, test_start) == change_effect::unchanged);
    CHECK(fleet.table()->configuration().version == 7);
}

// Guards against sending new requests to an upstream that is shutting down.
TEST_CASE("a draining upstream receives no new requests") {
    fleet_state fleet = make_fleet();
    upstream_description description = make_upstream("one");
    fleet.apply(upstream_announced{description}, test_start);
    CHECK(fleet.find_upstream("one")->is_usable(test_start));
    description.is_draining = true;
    fleet.apply(upstream_announced{description}, test_start);
    CHECK_FALSE(fleet.find_upstream("one")->is_usable(test_start));
    fleet.apply(upstream_withdrawn{"one"}, test_start);
    CHECK(fleet.find_upstream("one") == nullptr);
}

// Guards against losing all upstreams when their entries lapse in a store outage, and against keeping those that do not
// return.
TEST_CASE("a lapsed upstream remains usable for the grace period and is then removed") {
    fleet_state fleet = make_fleet();
    fleet.apply(upstream_announced{make_upstream("one")}, test_start);
    fleet.apply(upstream_announced{make_upstream("two")}, test_start);
    fleet.mark_lapsed("one", test_start);
    fleet.mark_lapsed("two", test_start);
    CHECK(fleet.find_upstream("one")->is_usable(test_start + 1900ms));
    fleet.apply(upstream_announced{make_upstream("two")}, test_start + 1s);
    CHECK_FALSE(fleet.find_upstream("one")->is_usable(test_start + 2s));
    CHECK(fleet.drop_expired(test_start + 2s) == std::vector<upstream_id>{"one"});
    CHECK(fleet.find_upstream("two")->is_usable(test_start + 10s));
}

// Guards against excluding an upstream permanently because another one used its address for a while.
TEST_CASE("a replaced upstream receives no requests until it is announced again") {
    fleet_state fleet = make_fleet();
    fleet.apply(upstream_announced{make_upstream("one")}, test_start);
    fleet.find_upstream("one")->mark_replaced();
    CHECK_FALSE(fleet.find_upstream("one")->is_usable(test_start + 1s));
    CHECK(fleet.drop_expired(test_start + 10s).empty());
    CHECK(fleet.apply(upstream_announced{make_upstream("one")}, test_start + 11s) == change_effect::applied);
    CHECK(fleet.find_upstream("one")->is_usable(test_start + 11s));
}

TEST_CASE("an evacuated failure domain has no upstreams until it is taken back") {
    fleet_state fleet = make_fleet();
    fleet.apply(upstream_announced{make_upstream("one", "gulf-a")}, test_start);
    fleet.apply(upstream_announced{make_upstream("two", "delta-a")}, test_start);
    fleet.apply(evacuation_changed{"gulf-a", true}, test_start);
    REQUIRE(fleet.upstreams_of("lots").size() == 1);
    CHECK(fleet.upstreams_of("lots").front()->description().id == "two");
    fleet.apply(evacuation_changed{"gulf-a", false}, test_start);
    CHECK(fleet.upstreams_of("lots").size() == 2);
}

// Guards against keeping observations of an upstream that restarted under the same id: it no longer knows any object.
TEST_CASE("a restart of an upstream resets its observations") {
    fleet_state fleet = make_fleet();
    upstream_description description = make_upstream("one");
    fleet.apply(upstream_announced{description}, test_start);
    const auto upstream = fleet.find_upstream("one");
    upstream->add_known_object(17, test_start);
    upstream->record_unreachable(test_start);
    description.started_at = 2;
    description.cold_remaining = 3s;
    fleet.apply(upstream_announced{description}, test_start);
    CHECK_FALSE(upstream->knows_object(17));
    CHECK(upstream->is_usable(test_start));
    CHECK(upstream->is_cold(test_start + 2s));
    CHECK_FALSE(upstream->is_cold(test_start + 3s));
}
