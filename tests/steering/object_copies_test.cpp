#include "steering/object_copies.h"

#include "steering/load_simulation.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace ragworthinge;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t upstream_count = 48;
constexpr object_capacity ten_hosts{.hosts = 10, .known_processing = 300ms, .slots = 9};

/// Requests of one host for an object, at even intervals.
time_point send(object_copies& copies, std::uint64_t object, double rate, duration length, time_point from) {
    const auto gap = std::chrono::duration_cast<duration>(std::chrono::duration<double>(1 / rate));
    time_point now = from;
    for (; now < from + length; now += gap)
        copies.record_request(object, now);
    return now;
}

/// One object has a fifth of the demand and occupies 40 slots; an upstream has nine. Loading it takes longer than the
/// target, as in the users' workload sheets.
simulation_options make_skewed_load() {
    simulation_options options;
    options.hosts = 20;
    options.upstreams = upstream_count;
    options.slots = 9;
    options.objects = 240;
    options.object_cache_size = 20;
    options.popular_share = 0.2;
    options.known_processing = 330ms;
    options.unknown_processing = 1100ms;
    options.target = 800ms;
    options.timeout = 4000ms;
    options.deadline = 6000ms;
    options.report_delay = 400ms;
    options.length = 20s;
    options.rate = [](duration) {
        return 600.0;
    };
    return options;
}

/// Requests at the busiest upstream as a multiple of the mean.
double busiest_to_mean(const simulation_results& results) {
    std::size_t total = 0;
    std::size_t busiest = 0;
    for (const auto& [id, count] : results.arrivals) {
        total += count;
        busiest = std::max(busiest, count);
    }
    return static_cast<double>(busiest * upstream_count) / static_cast<double>(total);
}

double known_fraction(const simulation_results& results) {
    return static_cast<double>(results.known) / static_cast<double>(results.executed);
}

} // namespace

// Guards against a popular object that stays on one upstream, and against copies that stay when its demand is gone.
TEST_CASE("the number of copies follows the demand up and down") {
    object_copies copies;
    CHECK(copies.wanted_copies(1, ten_hosts, test_start) == 1);
    // 80 requests a second on ten hosts occupy 24 slots; one upstream may give 4.5.
    const time_point busy = send(copies, 1, 8, 20s, test_start);
    const std::size_t most = copies.wanted_copies(1, ten_hosts, busy);
    CHECK(most >= 4);
    CHECK(most <= 6);
    // The demand moves to another object.
    const time_point later = send(copies, 2, 8, 12s, busy);
    CHECK(copies.wanted_copies(2, ten_hosts, later) >= 4);
    CHECK(copies.wanted_copies(1, ten_hosts, later) == 1);
}

// Guards against copies of ordinary objects: two requests in a row at one host say nothing about the others.
TEST_CASE("a few requests by chance add no copy") {
    object_copies copies;
    copies.record_request(1, test_start);
    copies.record_request(1, test_start + 100ms);
    const object_capacity many_hosts{.hosts = 60, .known_processing = 1400ms, .slots = 9};
    CHECK(copies.wanted_copies(1, many_hosts, test_start + 100ms) == 1);
}

TEST_CASE("a host loads further copies of an object only slowly, and forgets objects without demand") {
    object_copies copies{{.load_pause = 1s, .object_limit = 2}};
    copies.record_request(1, test_start);
    copies.record_request(2, test_start);
    CHECK(copies.may_load(1, test_start));
    copies.record_load(1, test_start);
    CHECK_FALSE(copies.may_load(1, test_start + 900ms));
    CHECK(copies.may_load(2, test_start + 900ms));
    CHECK(copies.may_load(1, test_start + 1s));
    copies.record_request(3, test_start + 1s);
    CHECK_FALSE(copies.may_load(3, test_start + 1s));
    copies.record_request(3, test_start + 60s);
    CHECK(copies.may_load(3, test_start + 60s));
}

// Guards against a hot spot: at twice the mean of 0.46 of the slots, the busiest upstream had a queue at all times.
TEST_CASE("an object of a fifth of the demand overloads no upstream, and most requests meet their object known") {
    const simulation_results results = load_simulation(make_skewed_load()).run();
    std::cout << "popular object: busiest to mean " << busiest_to_mean(results) << ", known " << known_fraction(results)
              << ", in target after the cold start " << results.in_target_between(5, 20) << "\n";
    CHECK(busiest_to_mean(results) <= 1.8);
    CHECK(known_fraction(results) >= 0.85);
    CHECK(results.in_target_between(5, 20) >= 0.85);
}

// Guards against copies that pile up when demand moves, and displace the other objects.
TEST_CASE("demand that moves to another object is served from known copies again") {
    simulation_options options = make_skewed_load();
    options.popular_object = [](duration time) {
        return static_cast<unsigned>(time / 7s);
    };
    const simulation_results results = load_simulation(options).run();
    std::cout << "moving object: busiest to mean " << busiest_to_mean(results) << ", known " << known_fraction(results)
              << ", in target from 4 s after the first move " << results.in_target_between(11, 14) << "\n";
    CHECK(busiest_to_mean(results) <= 1.8);
    CHECK(known_fraction(results) >= 0.8);
    CHECK(results.in_target_between(11, 14) >= 0.85);
}

// Guards against copies beyond what upstreams keep: a service keeps 9 objects, while hosts assume up to 16.
TEST_CASE("further copies do not displace the objects of upstreams that keep nine") {
    simulation_options options = make_skewed_load();
    options.object_cache_size = 9;
    const simulation_results results = load_simulation(options).run();
    std::cout << "nine objects kept: known " << known_fraction(results) << ", in target "
              << results.fraction(results.in_target) << "\n";
    CHECK(known_fraction(results) >= 0.85);
}
