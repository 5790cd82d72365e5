#include "observability/explain_ring.h"

#include <catch2/catch.hpp>

#include <boost/json.hpp>

#include <map>
#include <random>

using namespace ragworthinge;

// Guards against returning the explanation of another request after the ring wrapped around, and against unbounded
// memory.
TEST_CASE("the ring holds the latest records and finds each by its own id") {
    explain_ring ring(50);
    std::map<request_id, std::string> latest;
    std::vector<request_id> order;
    std::mt19937 random(3);
    for (int step = 0; step < 5000; ++step) {
        explain_record record;
        record.request = "r" + std::to_string(random() % 4 == 0 ? random() % 100 : 100 + step);
        record.rule = std::to_string(step);
        if (ring.find(record.request) == nullptr)
            order.push_back(record.request);
        latest[record.request] = record.rule;
        ring.add(record);
        REQUIRE(ring.size() <= 50);
        for (std::size_t index = 0; index < order.size(); ++index) {
            const explain_record* found = ring.find(order[index]);
            const bool expected = std::find(order.rbegin(), order.rend(), order[index]) - order.rbegin() < 50;
            REQUIRE((found != nullptr) == expected);
            if (found != nullptr)
                REQUIRE(found->rule == latest[order[index]]);
        }
        if (order.size() > 60)
            order.erase(order.begin());
    }
}

// Guards against output that operators' tools cannot parse.
TEST_CASE("an explanation is valid JSON with all fields") {
    const explain_record record{.request = "r\"1",
                                .account = "north",
                                .service = "permits",
                                .at = wall_time(std::chrono::milliseconds(1500)),
                                .candidates = {{"u1", true, "least loaded"}, {"u2", false, "leaving"}},
                                .budgets = {{"rate/north", 4.5, 1}},
                                .rule = "own region first",
                                .outcome = "200"};
    const boost::json::value read = boost::json::parse(record.to_json());
    CHECK(read.at("request_id") == "r\"1");
    CHECK(read.at("unix_time_ms") == 1500);
    CHECK(read.at("candidates").at(1).at("reason") == "leaving");
    CHECK(read.at("budgets").at(0).at("available") == 4.5);
    CHECK(read.at("rule") == "own region first");
}
