#include "steering/region_update_builder.h"

#include "steering/steering_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace ragworthinge;
using namespace std::chrono_literals;

namespace {

constexpr duration report_period = 800ms;

/// The reporter "r" of a region with the hosts "a" and "b", in a fleet that uses reporters.
struct reporter_fixture {
    reporter_fixture()
        : membership({.self = "r", .region = "gulf", .failure_domain = "gulf-a", .direct_fleet_size = 1}) {
        for (const std::string name : {"r", "a", "b"})
            membership.announce(make_host(name), test_start);
        own.host = "r";
        own.incarnation = 1;
    }

    static host_report report_of(const std::string& host, double demand = 0, std::uint32_t load = 0) {
        host_report report;
        report.host = host;
        report.incarnation = 1;
        if (demand > 0)
            report.demands = {{"florist", demand}};
        if (load > 0)
            report.loads = {{"i-1", load}};
        return report;
    }

    region_update request_update(const host_report& report, time_point now, std::uint64_t next_object = 0) {
        membership.record_report(report, now);
        return builder.make_update({.report = report, .object_incarnation = 7, .next_object = next_object}, own, true,
                                   now);
    }

    /// Lets both hosts report until the reporter has been one for the takeover time.
    time_point take_over() {
        time_point now = test_start;
        for (int period = 0; period < 4; ++period) {
            now += report_period;
            membership.record_report(report_of("a", 3, 2), now);
            membership.record_report(report_of("b", 5, 1), now);
            membership.make_region_report(own, now);
        }
        return now;
    }

    fleet_membership membership;
    crash_tracker crashes;
    region_update_builder builder{membership, crashes, {.run = 7, .object_limit = 3}};
    host_report own;
};

std::uint32_t load_in(const region_update& update, const upstream_id& upstream) {
    for (const auto& [number, in_flight] : update.loads) {
        if (number == hash_of(upstream))
            return in_flight;
    }
    return 0;
}

} // namespace

// Guards against counting the requesting host's demand or load twice.
TEST_CASE("a region update sums the reports of all hosts except the requesting one") {
    reporter_fixture host;
    host.own.demands = {{"florist", 1}};
    host.own.loads = {{"i-1", 1}};
    const time_point now = host.take_over();
    const region_update update = host.request_update(host.report_of("a", 4, 3), now + 1s);
    CHECK(update.reporter == "r");
    CHECK(update.counts_requester);
    REQUIRE(update.demands.size() == 1);
    CHECK(update.demands[0].second.others == Approx(6));
    CHECK(update.demands[0].second.region_fraction == Approx(1));
    CHECK(load_in(update, "i-1") == 2);

    SECTION("when the report of the requesting host is newer than the sums") {
        const region_update next = host.request_update(host.report_of("a", 40, 9), now + 1100ms);
        CHECK(next.demands[0].second.others == Approx(6));
        CHECK(load_in(next, "i-1") == 2);
    }
}

// Guards against a new reporter that has received few reports and thereby lets each host take most of a rate.
TEST_CASE("a reporter that has not received all reports yet sends no demand") {
    reporter_fixture host;
    host.membership.make_region_report(host.own, test_start + 100ms);
    const region_update early = host.request_update(host.report_of("a", 3), test_start + 200ms);
    CHECK(early.demands.empty());
    CHECK_FALSE(host.membership.demand_views(test_start + 200ms));
    // Hosts that had no time to report yet do not count as timed out either.
    CHECK(early.timed_out.empty());
    const time_point now = host.take_over();
    CHECK(host.request_update(host.report_of("a", 3), now + 300ms).demands.size() == 1);
}

// Guards against sending callers to dead hosts because a reporter did not list them as timed out.
TEST_CASE("a region update lists hosts that timed out and hosts that are leaving") {
    reporter_fixture host;
    const time_point now = host.take_over();
    host_report leaving = host.report_of("b");
    leaving.is_leaving = true;
    host.membership.record_report(leaving, now);
    const region_update early = host.request_update(host.report_of("a"), now + 500ms);
    const region_update late = host.request_update(host.report_of("a"), now + 3s);
    CHECK(early.leaving == std::vector<host_id>{"b"});
    CHECK(early.timed_out.empty());
    CHECK(late.timed_out == std::vector<host_id>{"b"});

    fleet_membership requester = make_membership("a");
    for (const std::string name : {"r", "a", "b"})
        requester.announce(make_host(name), test_start);
    requester.record_region_update(early, now + 500ms, now + 500ms);
    CHECK(requester.is_live("b", now + 500ms));
    CHECK(requester.entry_hosts_for("gulf", now + 500ms).size() == 2); // without the leaving one
    requester.record_region_update(late, now + 3s, now + 3s);
    CHECK_FALSE(requester.is_live("b", now + 3s));
    CHECK(requester.is_live("r", now + 3s));
}

// Guards against a host that takes a share by demand while the others, who do not receive its reports, reserve an equal
// share for it.
TEST_CASE("a host whose reports its reporter does not pass on counts no other host as live") {
    fleet_membership requester = make_membership("a");
    for (const std::string name : {"r", "a", "b"})
        requester.announce(make_host(name), test_start);
    region_update update;
    update.reporter = "r";
    update.counts_requester = true;
    requester.record_region_update(update, test_start + 5s, test_start + 5s);
    CHECK(requester.live_peers(test_start + 5s) == 2);
    CHECK(requester.eligible_pool_owners(test_start + 5s).size() == 3);
    update.counts_requester = false;
    requester.record_region_update(update, test_start + 6s, test_start + 6s);
    CHECK(requester.live_peers(test_start + 6s) == 0);
    CHECK(requester.eligible_pool_owners(test_start + 6s) == std::vector<host_id>{"a"});
}

TEST_CASE("each object is sent once, and all are sent again after a restart of the reporter") {
    reporter_fixture host;
    host.builder.add_objects({{"i-1", 11}, {"i-2", 12}});
    const region_update first = host.request_update(host.report_of("a"), test_start);
    REQUIRE(first.new_objects.size() == 2);
    CHECK(first.new_objects[1].upstream == hash_of("i-2"));
    CHECK(host.request_update(host.report_of("a"), test_start, first.next_object).new_objects.empty());
    host.builder.add_objects({{"i-1", 13}, {"i-1", 14}});
    // The oldest object was dropped; a host that missed more than is kept gets the remaining ones.
    CHECK(host.request_update(host.report_of("a"), test_start, first.next_object).new_objects.size() == 2);
    CHECK(host.request_update(host.report_of("a"), test_start).new_objects.size() == 3);
    region_update_request other_run{.report = host.report_of("a"), .object_incarnation = 6, .next_object = 900};
    CHECK(host.builder.make_update(other_run, host.own, true, test_start).new_objects.size() == 3);
}

// Guards against several hosts of a region that each consider themselves the reporter at the start, when no host is
// live yet.
TEST_CASE("hosts that have received no report agree on the reporter") {
    const std::vector<std::string> names{"a", "b", "c", "d"};
    std::optional<host_id> agreed;
    for (const std::string& self : names) {
        fleet_membership membership = make_membership(self);
        for (const std::string& name : names)
            membership.announce(make_host(name), test_start);
        const auto reporter = membership.reporter_of("gulf", {}, test_start + 1s);
        CHECK(agreed.value_or(*reporter) == *reporter);
        agreed = reporter;
    }
}

// Guards against a reporter that is too weak for its region: its replies came late, and hosts skipped one reporter
// after the other.
TEST_CASE("the reporter is one of the hosts with the highest capacity") {
    fleet_membership membership = make_membership("a");
    const std::map<std::string, double> capacities{{"a", 0.1}, {"b", 0.5}, {"c", 0.1}, {"d", 0.45}, {"e", 0.2}};
    for (const auto& [name, capacity] : capacities) {
        entry_host host = make_host(name);
        host.capacity = capacity;
        membership.announce(host, test_start);
    }
    const auto first = membership.reporter_of("gulf", {}, test_start);
    REQUIRE(first);
    CHECK(capacities.at(*first) > 0.4);
    const auto second = membership.reporter_of("gulf", {*first}, test_start);
    REQUIRE(second);
    CHECK(capacities.at(*second) > 0.4);
    CHECK(second != first);
    CHECK(membership.reporter_of("gulf", {"b", "d"}, test_start) == host_id("e"));
}

// Guards against ignoring demand while a region changes its reporter, which would raise the shares elsewhere.
TEST_CASE("region reports of two reporters count together until the newer one includes all hosts") {
    fleet_membership fleet = make_membership("a");
    for (const std::string name : {"d", "e", "f"})
        fleet.announce(make_host(name, 1, "delta"), test_start);
    region_report old;
    old.region = "delta";
    old.reporter = "d";
    old.hosts = {{"d", 1, false, {}, 0ms}, {"e", 1, false, {}, 0ms}, {"f", 1, false, {}, 0ms}};
    old.demands = {{"florist", 9}};
    fleet.record_region_report(old, test_start);
    region_report partial;
    partial.region = "delta";
    partial.reporter = "e";
    partial.hosts = {{"e", 1, false, {}, 0ms}};
    partial.demands = {{"florist", 3}};
    fleet.record_region_report(partial, test_start + 500ms);
    CHECK(fleet.reported_demands(test_start + 500ms)["florist"] == Approx(12));
    partial.hosts.push_back({"f", 1, false, {}, 0ms});
    partial.demands = {{"florist", 6}};
    fleet.record_region_report(partial, test_start + 1s);
    CHECK(fleet.reported_demands(test_start + 1s)["florist"] == Approx(6));
}
