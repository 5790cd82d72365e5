#include "routing/drain_planner.h"

#include <catch2/catch.hpp>

using namespace ragworthinge;
using namespace std::chrono_literals;

namespace {

const wall_time now{1700000000s}; // 2023-11-14T22:13:20Z

fleet_configuration make_fleet(const std::vector<drain_configuration>& drains) {
    fleet_configuration fleet;
    service_configuration service;
    service.name = "permits";
    for (const char* region : {"north", "gulf", "coast"}) {
        fleet.regions.push_back({region, {std::string(region) + "-a", std::string(region) + "-b"}});
        for (int index = 0; index < 12; ++index) {
            upstream_configuration upstream;
            upstream.name = region + std::string("-") + std::to_string(index);
            upstream.region = region;
            upstream.failure_domain = region + std::string(index % 2 == 0 ? "-a" : "-b");
            upstream.slots = 3;
            service.upstreams.push_back(upstream);
        }
    }
    fleet.services.push_back(service);
    fleet.drains = drains;
    return fleet;
}

std::vector<service_load> loads(double north, double gulf, double coast) {
    return {{"permits", "north", north}, {"permits", "gulf", gulf}, {"permits", "coast", coast}};
}

std::vector<std::string> admitted(const fleet_configuration& fleet, const std::vector<service_load>& load) {
    return drain_planner::plan(fleet, load, {}, now).value().admitted;
}

using ids = std::vector<std::string>;

} // namespace

// Guards against a drain that leaves too little capacity under high load, and against one that starts early.
TEST_CASE("a drain runs when it is due and the remaining capacity can lose a failure domain") {
    const auto region = make_fleet({{"d", "region:north", "2023-11-14T22:13:20Z", drain_state::planned}});
    REQUIRE(admitted(region, loads(10, 12, 12)) == ids{"d"});
    REQUIRE(admitted(region, loads(13, 12, 12)).empty());
    REQUIRE(admitted(make_fleet({{"d", "region:north", "2023-11-14T22:13:21Z", {}}}), loads(1, 1, 1)).empty());

    const auto domain = make_fleet({{"d", "failure_domain:north-a", "", drain_state::planned}});
    REQUIRE(admitted(domain, loads(12, 12, 12)) == ids{"d"});
    REQUIRE(admitted(domain, loads(13, 12, 12)).empty());
    REQUIRE(admitted(domain, loads(19, 0, 0)).empty());
    REQUIRE(drain_planner::plan(domain, loads(1, 1, 1), {}, now).value().upstreams.size() == 6);
}

// Guards against admitting two drains for which there is capacity only separately. Planned separately, both are
// admitted.
TEST_CASE("overlapping drains are planned together and unknown load makes them wait") {
    const drain_configuration first{"first", "region:north", "", drain_state::planned};
    const drain_configuration second{"second", "region:gulf", "", drain_state::planned};
    const auto load = loads(10, 10, 2);
    REQUIRE(admitted(make_fleet({first}), load) == ids{"first"});
    REQUIRE(admitted(make_fleet({second}), load) == ids{"second"});
    REQUIRE(admitted(make_fleet({first, second}), load) == ids{"first"});
    REQUIRE(admitted(make_fleet({first}), {}).empty());

    auto running = second;
    running.state = drain_state::running;
    REQUIRE(admitted(make_fleet({first, running}), load) == ids{"second"});
    const auto grown = drain_planner::plan(make_fleet({running}), loads(17, 17, 17), {}, now).value();
    REQUIRE(grown.admitted == ids{"second"});
    REQUIRE(grown.shortages.at("second").front().needed == 17);
}

// Guards against a host drain that leaves all entry hosts of a region in one failure domain.
TEST_CASE("a host drain leaves hosts in two failure domains") {
    const std::vector<host_location> hosts{
        {"h1", "north", "north-a"}, {"h2", "north", "north-a"}, {"h3", "north", "north-b"}};
    const auto fleet = make_fleet({{"1", "host:h1", "", {}}, {"2", "host:h2", "", {}}, {"3", "host:h3", "", {}}});
    const auto plan = drain_planner::plan(fleet, loads(1, 1, 1), hosts, now).value();
    REQUIRE(plan.admitted == ids{"1"});
    REQUIRE(plan.hosts == std::set<host_id>{"h1"});
    REQUIRE(plan.waiting == ids{"2", "3"});
}

// Guards against a drain with a malformed start time being treated as due immediately.
TEST_CASE("malformed targets and times are errors") {
    for (const char* text :
         {"2023-02-29T00:00:00Z", "2023-11-14 22:13:20Z", "2023-11-14T22:13:20", "2023-11-14T25:00:00Z"})
        REQUIRE_FALSE(parse_start_time(text).has_value());
    REQUIRE(parse_start_time("2023-11-14T22:13:20Z").value() == now);
    REQUIRE_FALSE(parse_drain_target("host:").has_value());
    REQUIRE_FALSE(drain_planner::plan(make_fleet({{"d", "rack:1", "", {}}}), {}, {}, now).has_value());
}
