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

// Guards against using a draining upstream again: the store executed one of its earlier announcements late.
TEST_CASE("an earlier announcement of an upstream does not replace a later one") {
    fleet_state fleet = make_fleet();
    upstream_description description = make_upstream("one");
    description.sequence = 5;
    const upstream_description earlier = description;
    fleet.apply(upstream_announced{description}, test_start);
    description.sequence = 8;
    description.is_draining = true;
    fleet.apply(upstream_announced{description}, test_start + 4s);
    CHECK(fleet.apply(upstream_announced{earlier}, test_start + 6s) == change_effect::outdated);
    CHECK(fleet.find_upstream("one")->description().is_draining);
    // A later announcement of the same upstream counts.
    description.sequence = 9;
    description.is_draining = false;
    CHECK(fleet.apply(upstream_announced{description}, test_start + 7s) == change_effect::applied);
    CHECK(fleet.find_upstream("one")->is_usable(test_start + 7s));
}

// Guards against using an upstream that has left: an earlier announcement, executed late, put its entry back.
TEST_CASE("an earlier announcement does not bring back an upstream whose entry was removed") {
    fleet_state fleet = make_fleet();
    upstream_description description = make_upstream("one");
    description.sequence = 5;
    fleet.apply(upstream_announced{description}, test_start);
    fleet.apply(upstream_withdrawn{"one"}, test_start + 40s);
    CHECK(fleet.apply(upstream_announced{description}, test_start + 44s) == change_effect::outdated);
    CHECK(fleet.find_upstream("one") == nullptr);
    description.sequence = 6;
    CHECK(fleet.apply(upstream_announced{description}, test_start + 45s) == change_effect::applied);
}

// Guards against an upstream that is not used again after its entry lapsed in a store outage, and against one that is
// put back into use by an announcement from before the outage.
TEST_CASE("a lapsed upstream returns with its last announcement but not with an earlier one") {
    fleet_state fleet = make_fleet();
    upstream_description description = make_upstream("one");
    description.sequence = 5;
    upstream_description earlier = description;
    earlier.sequence = 4;
    fleet.apply(upstream_announced{description}, test_start);
    fleet.mark_lapsed("one", test_start + 40s);
    CHECK(fleet.apply(upstream_announced{earlier}, test_start + 41s) == change_effect::outdated);
    CHECK(fleet.find_upstream("one")->is_lapsed());
    CHECK(fleet.apply(upstream_announced{description}, test_start + 41s) == change_effect::applied);
    CHECK_FALSE(fleet.find_upstream("one")->is_lapsed());
}

// Guards against the state of an upstream's earlier start replacing that of the running one, which counts anew.
TEST_CASE("an announcement of an earlier start is outdated and one of a later start begins a new count") {
    fleet_state fleet = make_fleet();
    upstream_description description = make_upstream("one");
    description.started_at = 100;
    description.sequence = 50;
    const upstream_description earlier = description;
    fleet.apply(upstream_announced{description}, test_start);
    description.started_at = 200;
    description.sequence = 1;
    CHECK(fleet.apply(upstream_announced{description}, test_start + 1s) == change_effect::applied);
    CHECK(fleet.apply(upstream_announced{earlier}, test_start + 2s) == change_effect::outdated);
    CHECK(fleet.find_upstream("one")->description().started_at == 200);
}

// Guards against ignoring an upstream for good because its clock was set back or a wrong number was once written.
TEST_CASE("the order of announcements is not trusted for longer than a write can be late") {
    fleet_state fleet = make_fleet();
    upstream_description description = make_upstream("one");
    description.started_at = 200;
    description.sequence = 1'000'000;
    fleet.apply(upstream_announced{description}, test_start);
    description.sequence = 7;
    CHECK(fleet.apply(upstream_announced{description}, test_start + 10s) == change_effect::outdated);
    CHECK(fleet.apply(upstream_announced{description}, test_start + 31s) != change_effect::outdated);
    CHECK(fleet.find_upstream("one")->description().sequence == 7);
    description.started_at = 100;
    CHECK(fleet.apply(upstream_announced{description}, test_start + 62s) == change_effect::applied);
}

TEST_CASE("announcements without a start time are taken as they come") {
    fleet_state fleet = make_fleet();
    upstream_description description = make_upstream("one");
    description.started_at = 0;
    description.sequence = 5;
    fleet.apply(upstream_announced{description}, test_start);
    description.sequence = 1;
    description.is_draining = true;
    CHECK(fleet.apply(upstream_announced{description}, test_start + 1s) == change_effect::applied);
}

// Guards against requests to an upstream that has said that it leaves: its entry is older, was removed and put back, or
// lapsed in a store outage.
TEST_CASE("an upstream that says that it leaves gets no requests until a later start") {
    fleet_state fleet = make_fleet();
    upstream_description description = make_upstream("one");
    fleet.apply(upstream_announced{description}, test_start);
    fleet.find_upstream("one")->mark_leaving();
    CHECK_FALSE(fleet.find_upstream("one")->is_usable(test_start));

    description.sequence = 1;
    fleet.apply(upstream_announced{description}, test_start + 1s);
    CHECK_FALSE(fleet.find_upstream("one")->is_usable(test_start + 1s));
    fleet.mark_lapsed("one", test_start + 2s);
    fleet.drop_expired(test_start + 5s);
    REQUIRE(fleet.find_upstream("one") == nullptr);
    fleet.drop_expired(test_start + 60s);
    description.sequence = 2;
    fleet.apply(upstream_announced{description}, test_start + 60s);
    CHECK_FALSE(fleet.find_upstream("one")->is_usable(test_start + 60s));
    description.started_at += 1;
    fleet.apply(upstream_announced{description}, test_start + 61s);
    CHECK(fleet.find_upstream("one")->is_usable(test_start + 61s));
}

TEST_CASE("an upstream that asked for quiet gets no requests until the longest time has passed") {
    fleet_state fleet = make_fleet();
    upstream_description description = make_upstream("one");
    fleet.apply(upstream_announced{description}, test_start);
    fleet.find_upstream("one")->mark_quiet(test_start + 20s);
    fleet.find_upstream("one")->mark_quiet(test_start + 2s);
    CHECK_FALSE(fleet.find_upstream("one")->is_usable(test_start + 19s));
    CHECK(fleet.find_upstream("one")->is_usable(test_start + 20s));
    fleet.apply(upstream_withdrawn{"one"}, test_start + 1s);
    description.sequence = 1;
    fleet.apply(upstream_announced{description}, test_start + 3s);
    CHECK_FALSE(fleet.find_upstream("one")->is_usable(test_start + 19s));
    description.started_at += 1;
    fleet.apply(upstream_announced{description}, test_start + 4s);
    CHECK(fleet.find_upstream("one")->is_usable(test_start + 4s));
}
