#include "steering/fleet_membership.h"

#include "membership/rendezvous_hash.h"
#include "steering/steering_fixture.h"

#include <catch2/catch.hpp>

using namespace ragworthinge;
using namespace std::chrono_literals;

namespace {

host_report report_of(const std::string& host, incarnation run = 1) {
    host_report report;
    report.host = host;
    report.incarnation = run;
    return report;
}

std::vector<std::string> names_for(const fleet_membership& fleet, const std::string& region, time_point now) {
    std::vector<std::string> names;
    for (const entry_host& host : fleet.entry_hosts_for(region, now))
        names.push_back(host.name);
    return names;
}

} // namespace

// Guards against lookups that list dead or leaving hosts.
TEST_CASE("callers are sent to live hosts that are not leaving") {
    fleet_membership fleet = make_membership("a");
    for (const std::string name : {"a", "b", "c"})
        fleet.announce(make_host(name), test_start);
    fleet.announce(make_host("d", 1, "delta"), test_start);
    CHECK(names_for(fleet, "gulf", test_start) == std::vector<std::string>{"a", "b", "c"});

    fleet.record_report(report_of("b"), test_start + 3s);
    CHECK(names_for(fleet, "gulf", test_start + 4s) == std::vector<std::string>{"a", "b"});

    host_report leaving = report_of("b");
    leaving.is_leaving = true;
    fleet.record_report(leaving, test_start + 4s);
    CHECK(names_for(fleet, "gulf", test_start + 4s) == std::vector<std::string>{"a"});

    SECTION("callers are sent to other regions when their own has no host") {
        fleet.set_leaving();
        fleet.record_report(report_of("d"), test_start + 4s);
        CHECK(names_for(fleet, "gulf", test_start + 4s) == std::vector<std::string>{"d"});
    }
}

// Guards against a report of an earlier incarnation that makes a dead host look alive.
TEST_CASE("reports of earlier incarnations and of unknown hosts are ignored") {
    fleet_membership fleet = make_membership("a");
    fleet.announce(make_host("b", 2), test_start);
    CHECK_FALSE(fleet.record_report(report_of("b", 1), test_start));
    CHECK(fleet.record_report(report_of("b", 2), test_start));
    CHECK_FALSE(fleet.record_report(report_of("unknown"), test_start));
}

// Guards against dividing budgets among fewer hosts while one is alive behind a network partition.
TEST_CASE("a host whose lease ended keeps its share until it must have stopped") {
    fleet_membership fleet = make_membership("a");
    fleet.announce(make_host("a"), test_start);
    fleet.announce(make_host("b"), test_start);
    fleet.withdraw("b", test_start + 1s);
    CHECK(fleet.size() == 2);
    CHECK(fleet.names(test_start + 5s) == std::vector<host_id>{"a"});
    fleet.remove_expired(test_start + 42s);
    CHECK(fleet.size() == 1);

    SECTION("a leaving host keeps its share for a shorter time") {
        fleet.announce(make_host("c"), test_start);
        host_report leaving = report_of("c");
        leaving.is_leaving = true;
        fleet.record_report(leaving, test_start);
        fleet.withdraw("c", test_start + 1s);
        fleet.remove_expired(test_start + 7s);
        CHECK(fleet.size() == 2);
        fleet.remove_expired(test_start + 9s);
        CHECK(fleet.size() == 1);
    }
}

// Guards against forgetting live hosts when all leases end during a store outage.
TEST_CASE("live hosts remain members without their entries") {
    fleet_membership fleet = make_membership("a");
    fleet.announce(make_host("b"), test_start);
    fleet.withdraw("b", test_start);
    for (int second = 1; second < 100; ++second) {
        fleet.record_report(report_of("b"), test_start + std::chrono::seconds(second));
        fleet.remove_expired(test_start + std::chrono::seconds(second));
    }
    CHECK(fleet.size() == 2);
    CHECK(fleet.is_live("b", test_start + 100s));
}

namespace {

region_report region_report_of(const std::string& host, std::chrono::milliseconds age = 0ms) {
    region_report aggregate;
    aggregate.region = "delta";
    aggregate.hosts = {{host, 1, false, {.revision = 40}, age}};
    aggregate.demands = {{"florist", 5}};
    aggregate.loads = {{"i-1", 2}};
    return aggregate;
}

} // namespace

// Guards against treating hosts of other regions as dead, so that they get no callers, because only a region report
// lists them.
TEST_CASE("a region report makes the hosts of another region live") {
    fleet_membership fleet = make_membership("a");
    fleet.announce(make_host("d", 1, "delta"), test_start);
    fleet.record_region_report(region_report_of("d", 500ms), test_start + 3s);
    CHECK(fleet.is_live("d", test_start + 3s));
    CHECK(fleet.live_peers(test_start + 3s) == 1);
    CHECK(names_for(fleet, "delta", test_start + 5s) == std::vector<std::string>{"d"});
    CHECK(fleet.best_informed_peer({.revision = 39}, test_start + 3s) == host_id("d"));
    CHECK_FALSE(fleet.best_informed_peer({.revision = 40}, test_start + 3s));
    // The age counts from the host report that the reporter had, not from the region report.
    CHECK(fleet.is_live("d", test_start + 5399ms));
    CHECK_FALSE(fleet.is_live("d", test_start + 5400ms));

    SECTION("except hosts of an earlier incarnation and of this host's own region") {
        fleet.announce(make_host("d", 2, "delta"), test_start + 3s);
        fleet.record_region_report(region_report_of("d"), test_start + 4s);
        CHECK_FALSE(fleet.is_live("d", test_start + 4s));
        fleet.announce(make_host("b"), test_start);
        region_report own = region_report_of("b");
        own.region = "gulf";
        fleet.record_region_report(own, test_start + 4s);
        CHECK_FALSE(fleet.is_live("b", test_start + 4s));
    }
}

// Guards against counting demand twice while a host reports both directly and through a reporter, as happens while a
// fleet grows.
TEST_CASE("a host that a region report includes counts once") {
    fleet_membership fleet = make_membership("a");
    fleet.announce(make_host("d", 1, "delta"), test_start);
    fleet.announce(make_host("e", 1, "delta"), test_start);
    for (const std::string name : {"d", "e"}) {
        host_report report = report_of(name);
        report.demands = {{"florist", 3}};
        report.loads = {{"i-1", 1}};
        fleet.record_report(report, test_start);
    }
    CHECK(fleet.reported_demands(test_start)["florist"] == Approx(6));
    fleet.record_region_report(region_report_of("d"), test_start);
    CHECK(fleet.reported_demands(test_start)["florist"] == Approx(8));
    CHECK(fleet.reported_loads(test_start)[hash_of("i-1")] == Approx(3));
    CHECK(fleet.live_peers(test_start) == 2);
    // Both the region report and the direct reports are outdated.
    CHECK(fleet.reported_demands(test_start + 3s).empty());
}

// Guards against a region without a reporter, or with one per host, after the first reporter fails or leaves.
TEST_CASE("hosts agree on the reporter of a region") {
    fleet_membership first = make_membership("a");
    fleet_membership second = make_membership("b");
    for (fleet_membership* fleet : {&first, &second}) {
        for (const std::string name : {"a", "b", "c"})
            fleet->announce(make_host(name), test_start);
    }
    const auto exchange_reports = [&](time_point now) {
        for (fleet_membership* fleet : {&first, &second}) {
            for (const std::string name : {"a", "b", "c"})
                fleet->record_report(report_of(name), now);
        }
    };
    exchange_reports(test_start);
    const auto reporter = first.reporter_of("gulf", {}, test_start);
    REQUIRE(reporter);
    CHECK(second.reporter_of("gulf", {}, test_start) == reporter);
    CHECK(first.reporter_of("gulf", {*reporter}, test_start) != reporter);
    // After a partition in which no host could be reached, one must be tried again.
    CHECK(first.reporter_of("gulf", {"a", "b", "c"}, test_start) == reporter);

    exchange_reports(test_start + 1s);
    for (fleet_membership* fleet : {&first, &second}) {
        host_report leaving = report_of(*reporter);
        leaving.is_leaving = true;
        fleet->record_report(leaving, test_start + 1s);
        if (fleet->options().self == *reporter)
            fleet->set_leaving();
    }
    CHECK(first.reporter_of("gulf", {}, test_start + 1s) == second.reporter_of("gulf", {}, test_start + 1s));
    CHECK(first.reporter_of("gulf", {}, test_start + 1s) != reporter);
}

// Guards against two regions that time each other out, in a partition or while both start, and that never send each
// other a report again, since neither knows a live host of the other.
TEST_CASE("a region whose hosts have all timed out is tried again") {
    fleet_membership fleet = make_membership("a");
    fleet.announce(make_host("a"), test_start);
    for (const std::string name : {"d", "e"})
        fleet.announce(make_host(name, 1, "delta"), test_start);
    fleet.record_region_report(region_report_of("d"), test_start);
    const time_point later = test_start + 1min;
    REQUIRE_FALSE(fleet.is_live("d", later));
    REQUIRE_FALSE(fleet.is_live("e", later));
    const auto tried = fleet.reporter_of("delta", {}, later);
    REQUIRE(tried);
    const auto next = fleet.reporter_of("delta", {*tried}, later);
    REQUIRE(next);
    CHECK(*next != *tried);
    CHECK(fleet.reporter_of("delta", {"d", "e"}, later) == tried);

    SECTION("but not its hosts without an entry in the store") {
        fleet.withdraw("d", later);
        fleet.withdraw("e", later);
        CHECK_FALSE(fleet.reporter_of("delta", {}, later + 1s));
    }
    SECTION("and a live host goes before those that have timed out") {
        const auto other = *tried == "d" ? "e" : "d";
        fleet.record_region_report(region_report_of(other), later);
        CHECK(fleet.reporter_of("delta", {}, later) == host_id(other));
    }
}

// Guards against two groups of a region's hosts that have timed each other out, each with a reporter of its own, and
// that never meet again: accounts whose pool belongs to a host of one group got no tokens in the other.
TEST_CASE("of two reporters of a region that have timed each other out, one asks the other and follows it") {
    fleet_membership first = make_membership("a");
    fleet_membership second = make_membership("b");
    for (fleet_membership* fleet : {&first, &second}) {
        for (const std::string name : {"a", "b", "c", "d"})
            fleet->announce(make_host(name), test_start);
    }
    const time_point later = test_start + 1min;
    first.record_report(report_of("c"), later);
    second.record_report(report_of("d"), later);
    const auto top = highest_ranked_host("reporter/gulf", std::vector<host_id>{"a", "b", "c", "d"});
    REQUIRE(top);
    for (fleet_membership* fleet : {&first, &second}) {
        const host_id self = fleet->options().self;
        const auto asked = fleet->timed_out_reporter({}, later);
        // The host that ranks first asks nobody; it is the other one that finds it.
        REQUIRE(asked == (*top == self || fleet->is_live(*top, later) ? std::nullopt : top));
        if (!asked)
            continue;
        CHECK(fleet->reporter_of("gulf", {}, later) != asked);
        // A host that did not reply is left out, and the next one is asked.
        CHECK(fleet->timed_out_reporter({*asked}, later) != asked);
        fleet->record_reply(*asked, later);
        CHECK(fleet->reporter_of("gulf", {}, later) == asked);
        CHECK_FALSE(fleet->timed_out_reporter({}, later));
    }

    SECTION("a host without an entry in the store is not asked") {
        fleet_membership alone = make_membership("a");
        for (const std::string name : {"a", "b", "c", "d"}) {
            alone.announce(make_host(name), test_start);
            if (name != "a")
                alone.withdraw(name, later);
        }
        CHECK_FALSE(alone.timed_out_reporter({}, later));
    }
}

// Guards against a region report that omits a host of the region or loses the ages of reports.
TEST_CASE("a region report sums the reports of its region") {
    fleet_membership fleet = make_membership("a");
    fleet.announce(make_host("b"), test_start);
    fleet.announce(make_host("d", 1, "delta"), test_start);
    host_report other = report_of("b");
    other.demands = {{"florist", 2}};
    other.loads = {{"i-1", 1}, {"i-2", 1}};
    other.crashes = {{7, 1}};
    fleet.record_report(other, test_start);
    fleet.record_report(report_of("d"), test_start);
    host_report own = report_of("a");
    own.demands = {{"florist", 1}};
    own.loads = {{"i-1", 3}};
    own.crashes = {{7, 1}};
    const region_report aggregate = fleet.make_region_report(own, test_start + 300ms);
    CHECK(aggregate.region == "gulf");
    REQUIRE(aggregate.hosts.size() == 2);
    CHECK(aggregate.hosts[0].name == "a");
    CHECK(aggregate.hosts[1].name == "b");
    CHECK(aggregate.hosts[1].age == 300ms);
    REQUIRE(aggregate.demands.size() == 1);
    CHECK(aggregate.demands[0].requests_per_second == Approx(3));
    REQUIRE(aggregate.loads.size() == 2);
    CHECK(aggregate.loads[0].in_flight == 4);
    CHECK(aggregate.crashes.at(0).upstream_crashes == 2);
}

// Guards against equal shares for hosts of unequal room, and against shares that add up to more than one.
TEST_CASE("a host's share of the fleet's room follows its processor and its link") {
    double total = 0;
    for (const std::string self : {"large", "small-1", "small-2"}) {
        fleet_membership fleet = make_membership(self);
        CHECK(fleet.room_share(test_start) == 1);
        for (const std::string name : {"large", "small-1", "small-2"}) {
            entry_host host = make_host(name);
            host.capacity = name == "large" ? 0.5 : 0.1;
            host.link_mbps = name == "large" ? 200 : 10;
            fleet.announce(host, test_start);
        }
        total += fleet.room_share(test_start);
        if (self == "large")
            CHECK(fleet.room_share(test_start) > 0.7);
        else
            CHECK(fleet.room_share(test_start) < 0.15);
    }
    CHECK(total == Approx(1));

    fleet_membership alike = make_membership("a");
    alike.announce(make_host("b"), test_start);
    CHECK(alike.room_share(test_start) == Approx(0.5));
    alike.announce(make_host("a"), test_start);
    CHECK(alike.room_share(test_start) == Approx(0.5));
}

// Guards against a host that takes the state from before the store came back from a copy, because the peer that knows
// it reports the higher revision.
TEST_CASE("a peer that has read a later era of the store is better informed than one at a higher revision") {
    fleet_membership fleet = make_membership("a");
    for (const std::string name : {"b", "c"})
        fleet.announce(make_host(name), test_start);
    host_report early = report_of("b");
    early.store_position = {.era = store_era{1}, .revision = 500};
    host_report late = report_of("c");
    late.store_position = {.era = store_era{2}, .revision = 40};
    fleet.record_report(early, test_start);
    fleet.record_report(late, test_start);
    CHECK(fleet.best_informed_peer({.era = store_era{1}, .revision = 400}, test_start) == host_id("c"));
    CHECK_FALSE(fleet.best_informed_peer({.era = store_era{2}, .revision = 40}, test_start));
}

// Guards against live hosts that are taken for dead because their reporter has not noticed that the store came back
// from a copy.
TEST_CASE("a reporter that is in an earlier era of the store still tells of hosts with an unchanged record") {
    fleet_membership fleet = make_membership("a");
    for (const std::string name : {"b", "c"})
        fleet.announce(make_host(name), test_start, {.era = store_era{1}, .revision = 10});
    for (const std::string name : {"b", "c"})
        fleet.announce(make_host(name), test_start + 1s, {.era = store_era{2}, .revision = 10});
    region_update update;
    update.reporter = "b";
    update.store_position = {.era = store_era{1}, .revision = 50};
    fleet.record_region_update(update, test_start + 3s, test_start + 3s);
    CHECK(fleet.is_live("c", test_start + 3s));

    // The reporter cannot know a host that has registered since.
    fleet.announce(make_host("d"), test_start + 3s, {.era = store_era{2}, .revision = 20});
    fleet.record_region_update(update, test_start + 4s, test_start + 4s);
    CHECK_FALSE(fleet.is_live("d", test_start + 4s));
}
