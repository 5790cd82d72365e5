#include "steering/load_replay.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace ragworthinge;
using namespace std::chrono_literals;

namespace {

replay_figures replay(replay_options options, replay_strategy strategy) {
    options.strategy = strategy;
    return load_replay(std::move(options)).run();
}

/// Prints the results next to those of the naive strategies.
void print(const char* pattern, const char* strategy, const replay_figures& figures) {
    std::cout << pattern << ": " << strategy << " in target " << figures.part(figures.in_target) << " late "
              << figures.part(figures.late) << " refused " << figures.part(figures.refused) << " timed out "
              << figures.part(figures.timed_out) << " refused after waiting "
              << figures.part(figures.refused_after_wait) << "\n";
}

struct comparison {
    replay_figures steering;
    replay_figures least_loaded;
    replay_figures two_choices;
};

comparison compare(const char* pattern, const replay_options& options) {
    comparison all{replay(options, replay_strategy::steering), replay(options, replay_strategy::least_loaded),
                   replay(options, replay_strategy::two_choices)};
    print(pattern, "steering", all.steering);
    print(pattern, "least loaded", all.least_loaded);
    print(pattern, "two choices", all.two_choices);
    return all;
}

} // namespace

// Guards against placement that spreads objects over all upstreams: each caches only some objects, so most requests are
// slow and the load exceeds the slots.
TEST_CASE("requests go to the upstreams that know their objects at the usual load") {
    const comparison all = compare("usual load", {});
    CHECK(all.steering.part(all.steering.in_target) >= 0.9);
    CHECK(all.steering.in_target > all.least_loaded.in_target);
    CHECK(all.steering.in_target > all.two_choices.in_target);
}

// Guards against a collapse seen on the day with the highest load: slow requests for unknown objects, queued behind
// others, hit the route's timeout, loaded no cache and left the service cold.
TEST_CASE("a load of 1.4 times the usual from a cold start does not collapse") {
    replay_options options;
    options.rate = [](duration) {
        return 130.0;
    };
    const comparison all = compare("1.4 times the usual", options);
    CHECK(all.steering.part(all.steering.in_target) >= 0.8);
    CHECK(all.steering.part(all.steering.timed_out) <= 0.05);
    CHECK(all.steering.in_target > 2 * all.least_loaded.in_target);
}

// Guards against requests that wait and are then refused, and against processing requests that cannot be answered in
// time.
TEST_CASE("the excess of a burst of three times the usual load is refused immediately and not after waiting") {
    replay_options options;
    options.rate = [](duration time) {
        return time > 10s && time < 14s ? 280.0 : 93.0;
    };
    const comparison all = compare("burst of 3", options);
    CHECK(all.steering.part(all.steering.refused_after_wait) < 0.005);
    CHECK(all.steering.in_target > all.least_loaded.in_target);
}

// Guards against upstreams that join and get no request because every object is known elsewhere.
TEST_CASE("upstreams that join get requests within four seconds") {
    replay_options options;
    options.script = [](load_replay& fleet, duration time) {
        if (time == 10s) {
            for (int count = 0; count < 4; ++count)
                fleet.add_upstream();
        }
    };
    options.length = 14s;
    replay_figures figures = replay(options, replay_strategy::steering);
    std::size_t served = 0;
    for (int index = 16; index < 20; ++index)
        served += figures.arrivals["upstream-" + std::to_string(index)] > 0 ? 1 : 0;
    CHECK(served >= 3);
}

// Guards against slow upstreams that keep their objects.
TEST_CASE("requests avoid upstreams that become slow") {
    replay_options options;
    options.script = [](load_replay& fleet, duration time) {
        for (std::size_t index = 0; index < 3; ++index)
            fleet.set_speed(index, time > 10s && time < 17s ? 5 : 1);
    };
    const comparison all = compare("3 of 16 slow", options);
    CHECK(all.steering.part(all.steering.in_target) >= 0.85);
    CHECK(all.steering.in_target > all.least_loaded.in_target);
}

// Guards against hosts that lose the record of known objects in a restart and then refuse requests for objects they
// consider unknown although slots are free.
TEST_CASE("restarted hosts serve requests for objects that they do not know") {
    replay_options options;
    options.unknown_work = 1160ms;
    options.known_work = 348ms;
    options.target = 800ms;
    options.rate = [](duration) {
        return 30.0;
    };
    options.upstreams = 12;
    options.slots = 3;
    options.script = [](load_replay& fleet, duration time) {
        if (time == 15s)
            fleet.restart_hosts();
    };
    const replay_figures figures = replay(options, replay_strategy::steering);
    print("restart", "steering", figures);
    CHECK(figures.part(figures.refused) <= 0.02);
    CHECK(figures.part(figures.in_target) >= 0.75);
}

// Guards against avoiding too late, or forever, upstreams that fail a fraction of their requests while their health
// checks succeed.
TEST_CASE("requests avoid upstreams that fail a fraction of them, and return after recovery") {
    replay_options options;
    std::size_t arrivals_at_end = 0;
    const auto arrivals = [](const load_replay& fleet) {
        return fleet.arrivals_at(0) + fleet.arrivals_at(1) + fleet.arrivals_at(2);
    };
    options.script = [&](load_replay& fleet, duration time) {
        for (std::size_t index = 0; index < 3; ++index)
            fleet.set_failing(index, time > 10s && time < 17s ? 0.6 : 0);
        if (time == 22s)
            arrivals_at_end = arrivals(fleet);
    };
    const comparison all = compare("3 of 16 fail 0.6", options);
    std::cout << "3 of 16 fail 0.6: failed " << all.steering.failed << ", least loaded " << all.least_loaded.failed
              << ", two choices " << all.two_choices.failed << "\n";
    CHECK(2 * all.steering.failed <= all.two_choices.failed);
    CHECK(2 * all.steering.failed <= all.least_loaded.failed);
    arrivals_at_end = 0;
    std::size_t later = 0;
    options.length = 30s;
    auto script = options.script;
    options.script = [&](load_replay& fleet, duration time) {
        script(fleet, time);
        later = arrivals(fleet);
    };
    replay(options, replay_strategy::steering);
    CHECK(later > arrivals_at_end);
}

// Guards against a Retry-After after which a caller is refused again.
TEST_CASE("callers that retry after a refusal are served", "[returns]") {
    replay_options options;
    options.callers_return = true;
    options.rate = [](duration time) {
        return time > 10s && time < 14s ? 280.0 : 93.0;
    };
    const replay_figures figures = replay(options, replay_strategy::steering);
    print("burst of 3, callers retry", "steering", figures);
    std::cout << "burst of 3, callers retry: retried " << figures.returned << ", served " << figures.returned_served
              << "\n";
    CHECK(figures.returned > 0);
    CHECK(static_cast<double>(figures.returned_served) >= 0.9 * static_cast<double>(figures.returned));
}
