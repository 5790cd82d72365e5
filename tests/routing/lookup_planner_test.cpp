#include "routing/lookup_planner.h"

#include "membership/rendezvous_hash.h"
#include "routing_fixture.h"

#include <catch2/catch.hpp>

#include <deque>
#include <numeric>

using namespace ragworthinge;

namespace {

const std::vector<host_id> north{"n1", "n2", "n3", "n4", "n5"};

/// A client that caches its answer for the time to live. Clients send their lookups at different times.
struct caching_client {
    std::string name;
    time_point expires;
    host_id host;
};

} // namespace

// Guards against an extra hop for most requests, and against clients being sent to a host that is leaving.
TEST_CASE("the dispatcher is first and leaving hosts are removed immediately") {
    lookup_planner planner;
    planner.set_live_hosts("north", north);
    planner.set_target("site", std::vector<region_fraction>{{"north", 1}}, test_start);
    const auto ranked = rank_hosts(dispatcher_key("permits", "north"), north);
    const auto first = planner.answer("permits", "site", "198.51.100.7", test_start);
    REQUIRE(first.hosts == std::vector<host_id>(ranked.begin(), ranked.begin() + 3));

    // Two hosts leave at the same time. Replacing one host per time to live would keep the other for another 5 s.
    planner.set_live_hosts("north", {ranked.begin() + 2, ranked.end()});
    planner.tick(test_start);
    const auto second = planner.answer("permits", "site", "198.51.100.7", test_start);
    REQUIRE(second.hosts == std::vector<host_id>(ranked.begin() + 2, ranked.end()));
}

// Guards against more than one host of an answer being replaced per time to live when hosts join.
TEST_CASE("hosts that join replace one host of an answer per time to live") {
    lookup_planner planner;
    const auto ranked = rank_hosts(dispatcher_key("permits", "north"), north);
    planner.set_live_hosts("north", {ranked[2], ranked[3], ranked[4]});
    planner.set_target("site", std::vector<region_fraction>{{"north", 1}}, test_start);
    auto previous = planner.answer("permits", "site", "c", test_start).hosts;
    planner.set_live_hosts("north", north);
    time_point last_change = test_start - 1h;
    for (time_point now = test_start; now < test_start + 20s; now += 250ms) {
        planner.tick(now);
        const auto hosts = planner.answer("permits", "site", "c", now).hosts;
        const auto added = std::count_if(hosts.begin(), hosts.end(), [&](const host_id& host) {
            return std::find(previous.begin(), previous.end(), host) == previous.end();
        });
        REQUIRE(added <= 1);
        if (added == 1) {
            REQUIRE(now - last_change >= 5s);
            last_change = now;
        }
        previous = hosts;
    }
    REQUIRE(previous == std::vector<host_id>(ranked.begin(), ranked.begin() + 3));
}

// Guards against more than one step of the clients moving to another region per time to live, counted at clients that
// cache their answers. Without a step limit, half of the clients move within one time to live.
TEST_CASE("cached answers move at most one step of the clients per time to live") {
    const bool unlimited_step = GENERATE(false, true);
    lookup_planner_options options;
    options.max_step = unlimited_step ? 1.0 : 0.1;
    lookup_planner planner(options);
    for (const char* region : {"north", "gulf", "coast"})
        planner.set_live_hosts(region, {std::string(region) + "-1", std::string(region) + "-2"});
    planner.set_target("site", std::vector<region_fraction>{{"north", 0.7}, {"coast", 0.3}}, test_start);

    std::vector<caching_client> clients;
    for (int index = 0; index < 2000; ++index)
        clients.push_back({"client-" + std::to_string(index), test_start + index * 5s / 2000, {}});
    std::deque<int> moved;
    int most_moved = 0;
    for (time_point now = test_start; now < test_start + 2min; now += 100ms) {
        if (now == test_start + 20s)
            planner.set_target("site", std::vector<region_fraction>{{"gulf", 0.7}, {"coast", 0.3}}, now);
        planner.tick(now);
        moved.push_back(0);
        for (caching_client& client : clients) {
            if (client.expires > now)
                continue;
            const host_id host = planner.answer("permits", "site", client.name, now).hosts.at(0);
            moved.back() += !client.host.empty() && host != client.host ? 1 : 0;
            client.host = host;
            client.expires = now + 5s;
        }
        if (moved.size() > 50)
            moved.pop_front();
        most_moved = std::max(most_moved, std::accumulate(moved.begin(), moved.end(), 0));
    }
    INFO(most_moved << " of 2000 clients moved within one time to live");
    REQUIRE((most_moved <= 2000 * 0.1) == !unlimited_step);
    REQUIRE(planner.fraction_of("site", "gulf") == Approx(0.7));
    REQUIRE(planner.fraction_of("site", "north") == Approx(0).margin(1e-9));
}

// Guards against answers with hosts of a failed region, and against its clients getting no hosts.
TEST_CASE("clients of a region without live hosts get another region immediately") {
    lookup_planner planner;
    planner.set_live_hosts("north", north);
    planner.set_live_hosts("gulf", {"g1"});
    planner.set_target("site", std::vector<region_fraction>{{"north", 1}}, test_start);
    planner.set_live_hosts("north", {});
    planner.tick(test_start);
    REQUIRE(planner.answer("permits", "site", "c", test_start).hosts == std::vector<host_id>{"g1"});
    REQUIRE(planner.answer("permits", "elsewhere", "c", test_start).hosts == std::vector<host_id>{"g1"});
}
