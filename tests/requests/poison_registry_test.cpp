#include "requests/poison_registry.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace ragworthinge;
using namespace std::chrono_literals;
using kind = poison_verdict::kind;

namespace {

const wall_time start{1'700'000'000s};
const poison_subject subject{"print", "north", "POST", "/sheds"};

poison_registry registry_of(std::string host) {
    return poison_registry({.host = std::move(host), .run = 1});
}

/// Runs the request once if it may run, and crashes its upstream.
std::optional<poison_record> run_and_crash(poison_registry& registry, wall_time now, std::string domain = "d1") {
    if (registry.start("print", now).decision != kind::run)
        return std::nullopt;
    return registry.finish(subject, run_outcome::connection_lost, "u", domain, now);
}

} // namespace

// Guards against a request that keeps crashing upstreams because each host counts only its own crashes.
TEST_CASE("a request is rejected on all hosts for ten minutes after its second upstream crash") {
    poison_registry one = registry_of("one");
    poison_registry two = registry_of("two");
    poison_registry three = registry_of("three");
    two.merge(*run_and_crash(one, start), start);
    const auto avoiding = two.start("print", start);
    CHECK(avoiding.decision == kind::run);
    CHECK(avoiding.avoid == std::set<failure_domain_id>{"d1"});
    CHECK(two.start("print", start).decision == kind::wait);
    const auto second = two.finish(subject, run_outcome::connection_lost, "v", "d2", start + 5s);
    for (poison_registry* registry : {&one, &three})
        registry->merge(poison_record::decode(second->encode()).value(), start + 5s);
    for (poison_registry* registry : {&one, &two, &three}) {
        const auto verdict = registry->start("print", start + 6s);
        CHECK(verdict.decision == kind::quarantined);
        CHECK(verdict.retry_after == 599s);
        CHECK(registry->list(start + 6s).size() == 1);
        CHECK(registry->start("print", start + 605s).decision == kind::run);
        CHECK(registry->expire(start + 605s) == std::vector<std::string>{"print"});
        CHECK(registry->size() == 0);
    }
}

// Guards against quarantining harmless requests that ran beside a poison request or during a planned restart.
TEST_CASE("a success clears the first crash and a leaving upstream does not count") {
    poison_registry registry = registry_of("one");
    run_and_crash(registry, start);
    registry.start("print", start);
    REQUIRE(registry.finish(subject, run_outcome::answered, "u", "d2", start));
    run_and_crash(registry, start + 1s);
    CHECK(registry.start("print", start + 1s).decision == kind::run);
    registry.finish(subject, run_outcome::upstream_leaving, "u", "d2", start + 1s);
    CHECK(registry.start("print", start + 2s).decision == kind::run);
    registry.finish(subject, run_outcome::not_dispatched, "", "", start + 2s);
    CHECK(run_and_crash(registry, start + 3s));
    CHECK(registry.start("print", start + 3s).decision == kind::quarantined);
    // A run that started before the quarantine does not end it.
    CHECK_FALSE(registry.finish(subject, run_outcome::answered, "u", "d2", start + 3s));
    CHECK(registry.start("print", start + 3s).decision == kind::quarantined);
}

// Guards against a released request that returns to quarantine because of an old record of another host.
TEST_CASE("a release reaches all hosts and is not undone by late records") {
    poison_registry one = registry_of("one");
    poison_registry two = registry_of("two");
    run_and_crash(one, start);
    const poison_record before = *run_and_crash(one, start);
    two.merge(before, start);
    two.merge(*one.release("print"), start);
    CHECK(one.start("print", start).decision == kind::run);
    // The stored copy lacks the release, so it must be written again.
    const auto rewritten = two.merge(before, start);
    REQUIRE(rewritten);
    CHECK(rewritten->uncleared_crashes().empty());
    CHECK(two.start("print", start).decision == kind::run);
    CHECK_FALSE(one.release("unknown"));
}

// Guards against hosts with different states after they received the same records in a different order.
TEST_CASE("records merge to the same state in any order and survive encoding") {
    std::mt19937 random(11);
    for (int round = 0; round < 200; ++round) {
        std::vector<poison_record> records;
        for (int index = 0; index < 5; ++index) {
            poison_record record{"print", "north", "POST", "/", {}, {}};
            for (int crash = 0; crash < 4; ++crash) {
                const std::string id = std::to_string(random() % 6);
                poison_record one{"print", "north", "POST", "/", {{id, "u", "d", start}}, {}};
                record.merge(one);
                if (random() % 3 == 0)
                    record.cleared.insert(id);
            }
            records.push_back(poison_record::decode(record.encode()).value());
        }
        const auto merged = [&] {
            poison_record all = records.front();
            for (const poison_record& record : records)
                all.merge(record);
            std::set<std::string> open;
            for (const upstream_crash& crash : all.uncleared_crashes())
                open.insert(crash.id);
            return open;
        };
        const auto expected = merged();
        std::shuffle(records.begin(), records.end(), random);
        REQUIRE(merged() == expected);
    }
    CHECK_FALSE(poison_record::decode("8:poison-1,").has_value());
    CHECK_FALSE(poison_record::decode("").has_value());
}

// Guards against memory that grows with every request while many upstreams crash.
TEST_CASE("the registry is bounded and keeps quarantined requests") {
    poison_registry registry({.host = "one", .run = 1, .max_records = 50});
    run_and_crash(registry, start);
    run_and_crash(registry, start);
    for (int number = 0; number < 500; ++number)
        registry.finish({std::to_string(number), "a", "POST", "/"}, run_outcome::connection_lost, "u", "d", start + 1s);
    CHECK(registry.size() <= 50);
    CHECK(registry.start("print", start + 2s).decision == kind::quarantined);
    poison_record foreign{"foreign", "a", "POST", "/", {{"x/1/1", "u", "d", start}}, {}};
    registry.merge(foreign, start);
    CHECK(registry.size() <= 50);
}
