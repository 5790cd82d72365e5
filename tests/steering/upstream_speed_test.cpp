#include "steering/upstream_speed.h"

#include "steering/load_simulation.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>

using namespace ragworthinge;
using namespace std::chrono_literals;

namespace {

double seconds(duration time) {
    return std::chrono::duration<double>(time).count();
}

/// 15% of the upstreams take 2.5 times as long, each for 600 ms in its turn.
simulation_options slow_by_turns(bool is_reported) {
    simulation_options options;
    options.hosts = 4;
    options.upstreams = 20;
    options.rate = [](duration) {
        return 150.0;
    };
    options.upstreams_report_speed = is_reported;
    options.script = [](load_simulation& simulation, duration elapsed) {
        const auto turn = static_cast<std::size_t>(elapsed / 600ms);
        for (std::size_t index = 0; index < 20; ++index)
            simulation.set_speed(index, (index * 7 + turn * 3) % 20 < 3 ? 2.5 : 1);
    };
    return options;
}

} // namespace

// Guards against an old figure that decides where requests go: it changes several times a second.
TEST_CASE("a reported speed fades to the usual") {
    upstream_speed speed;
    CHECK(speed.factor(test_start) == 1);
    speed.record(2.5, test_start);
    CHECK(speed.factor(test_start) == 2.5);
    CHECK(speed.factor(test_start + 400ms) == Approx(1.55).margin(0.01));
    CHECK(speed.factor(test_start + 5s) == Approx(1).margin(0.01));
    CHECK(speed.factor(test_start - 1s) == 2.5);
    speed.record(1e30, test_start);
    CHECK(speed.factor(test_start) == 20);
    speed.record(1e-30, test_start);
    CHECK(speed.factor(test_start) == Approx(0.2));
}

// Guards against a time that is divided by a figure of another moment: the one of the end says nothing of the start.
TEST_CASE("a time at a speed that changed meanwhile is not converted") {
    upstream_speed speed;
    speed.record(2.5, test_start);
    const auto at_start = speed.recent(test_start + 100ms);
    CHECK(at_start == 2.5);
    speed.record(2.5, test_start + 700ms);
    CHECK(speed.over(at_start, test_start + 700ms) == 2.5);
    CHECK_FALSE(speed.over(std::nullopt, test_start + 700ms));
    speed.record(1, test_start + 800ms);
    CHECK_FALSE(speed.over(at_start, test_start + 800ms));
    CHECK(speed.over(std::nullopt, test_start + 800ms) == 1.0);
    CHECK_FALSE(speed.recent(test_start + 2s));
}

// Guards against an upstream that is avoided for seconds because of one request that takes many times as long.
TEST_CASE("a single long request is not attributed to an upstream that reports the usual speed") {
    for (const bool is_reported : {false, true}) {
        observed_upstream upstream(make_upstream("a"), "gulf", test_start, {});
        if (is_reported)
            upstream.record_speed(1, test_start);
        const auto attempt = upstream.start_attempt(300ms, test_start);
        const time_point end = test_start + 2100ms;
        if (is_reported)
            upstream.record_speed(1, end);
        upstream.end_attempt(attempt, attempt_end::answered, 0s, end);
        CHECK((upstream.slowdown(end) < 1.1) == is_reported);
    }
}

// Guards against an upstream whose figure is wrong: what it does not explain still counts.
TEST_CASE("an upstream that is slow in spite of its figure is found out") {
    observed_upstream upstream(make_upstream("a"), "gulf", test_start, {});
    time_point now = test_start;
    upstream.record_speed(1, now);
    for (int count = 0; count < 10; ++count) {
        const auto attempt =
            upstream.start_attempt(std::chrono::duration_cast<duration>(300ms * upstream.slowdown(now)), now);
        now += 1500ms;
        upstream.record_speed(1, now);
        upstream.end_attempt(attempt, attempt_end::answered, 0s, now);
    }
    CHECK(upstream.slowdown(now) > 2);
}

// Guards against an upstream that hangs: it reports nothing, so its last figure says nothing.
TEST_CASE("a running attempt counts while its upstream reports nothing") {
    observed_upstream upstream(make_upstream("a"), "gulf", test_start, {});
    upstream.record_speed(1, test_start);
    upstream.start_attempt(300ms, test_start);
    CHECK(upstream.slowdown(test_start + 3s) == Approx(5));
    upstream.record_speed(1, test_start + 3s);
    CHECK(upstream.slowdown(test_start + 3s) == Approx(1));
}

// Guards against estimates that take a known object on a slow upstream for an unknown one, and against hosts that all
// prefer the same upstream.
TEST_CASE("estimates stay close to the truth while upstreams are slow by turns", "[speed]") {
    const auto worst_error = [](const simulation_results& results, const simulation_options& options) {
        double worst = 0;
        for (const processing_time& times : results.estimates) {
            worst = std::max(worst, std::abs(seconds(times.known_object) / seconds(options.known_processing) - 1));
            worst = std::max(worst, std::abs(seconds(times.unknown_object) / seconds(options.unknown_processing) - 1));
        }
        return worst;
    };
    const auto busiest_share = [](const simulation_results& results) {
        std::size_t most = 0;
        std::size_t total = 0;
        for (const auto& [id, count] : results.arrivals) {
            most = std::max(most, count);
            total += count;
        }
        return static_cast<double>(most) * 20 / static_cast<double>(total);
    };
    const simulation_options options = slow_by_turns(true);
    const simulation_results with = load_simulation(options).run();
    const simulation_results without = load_simulation(slow_by_turns(false)).run();
    CAPTURE(worst_error(with, options), worst_error(without, options), with.in_target, without.in_target,
            with.requested, busiest_share(with), busiest_share(without));
    CHECK(worst_error(with, options) < 0.25);
    CHECK(worst_error(with, options) * 2 < worst_error(without, options));
    CHECK(with.in_target > without.in_target);
    CHECK(busiest_share(with) < 1.5);
    CHECK(with.slow_arrivals * 10 < without.slow_arrivals * 9);
}
