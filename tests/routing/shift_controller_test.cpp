#include "routing/shift_controller.h"

#include <catch2/catch.hpp>

#include <random>

using namespace ragworthinge;
using namespace std::chrono_literals;

namespace {

const wall_time start{1700000000s};
const std::map<std::pair<region_id, region_id>, link_state> wide_link{{{"north", "gulf"}, {280, 0}}};

shift_configuration make_shift(const std::string& id, double cap = 400) {
    shift_configuration shift;
    shift.id = id;
    shift.from = "north";
    shift.to = "gulf";
    shift.cap_requests_per_second = cap;
    shift.cap_megabits_per_second = 200;
    return shift;
}

struct shift_fixture {
    shift_controller controller;

    explicit shift_fixture(const std::vector<shift_configuration>& shifts, shift_controller_options options = {})
        : controller(options) {
        controller.configure(shifts);
        for (const auto& shift : shifts) {
            controller.observe(shift.id, {20, 0.001, 1000, start});
            controller.load(controller.start(shift.id, start).value());
        }
    }

    double moved(const std::string& id, wall_time now, const decltype(wide_link)& links = wide_link) const {
        for (const auto& allowance : controller.allowances(links, now)) {
            if (allowance.id == id)
                return allowance.requests_per_second;
        }
        return -1;
    }
};

} // namespace

// Guards against a shift that exceeds its cap or skips the ramp, and against state that is not in the stored record.
TEST_CASE("a shift ramps to its cap and another host continues it") {
    shift_fixture first({make_shift("s")});
    REQUIRE(first.moved("s", start) == 0);
    REQUIRE(first.moved("s", start + 30s) == Approx(200));
    REQUIRE(first.moved("s", start + 10min) == Approx(400));

    shift_controller second;
    second.configure(std::vector<shift_configuration>{make_shift("s")});
    second.load(first.controller.pause("s", "by operator", start + 15s).value());
    second.observe("s", {20, 0.001, 1000, start + 15s});
    REQUIRE(second.allowances(wide_link, start + 1h).front().requests_per_second == Approx(100));
    REQUIRE_FALSE(second.pause("s", "again", start + 1h).has_value());
    second.load(second.resume("s", start + 1h).value());
    REQUIRE(second.allowances(wide_link, start + 1h + 15s).front().requests_per_second == Approx(200));
    const auto cancelled = second.cancel("s", start + 1h).value();
    second.load(cancelled);
    REQUIRE(second.allowances(wide_link, start + 2h).front().requests_per_second == 0);
    REQUIRE_FALSE(second.resume("s", start + 2h).has_value());
}

// Guards against a shift that continues although latency or errors of its target rise. With a limit of 1000 bad
// observations the shift does not pause.
TEST_CASE("a shift pauses automatically and rolls back part of its ramp") {
    const bool without_limit = GENERATE(false, true);
    const bool errors = GENERATE(false, true);
    shift_controller_options options;
    options.pause_consecutive_observations = without_limit ? 1000 : options.pause_consecutive_observations;
    shift_fixture fixture({make_shift("s")}, options);
    for (int second = 31; second <= 33; ++second)
        fixture.controller.observe("s", {errors ? 20.0 : 35.0, errors ? 0.03 : 0.001, 1000, start + 1s * second});
    const auto records = fixture.controller.check_targets(start + 33s);
    REQUIRE(records.empty() == without_limit);
    if (without_limit)
        return;
    REQUIRE(records.front().state == shift_state::paused);
    REQUIRE(fixture.controller.state("s") == shift_state::paused);
    REQUIRE(fixture.moved("s", start + 5min) == Approx(400 * 18 / 60.0));
    // While the store is down, the pause stays in effect and its record is returned again.
    REQUIRE(fixture.controller.check_targets(start + 5min).size() == 1);
    fixture.controller.load(records.front());
    REQUIRE(fixture.controller.check_targets(start + 5min).empty());
    REQUIRE(fixture.controller.resume("s", start + 5min).has_value());
}

// Guards against a shift that continues without measurements of its target. With an unlimited lifetime of observations
// the shift does not pause.
TEST_CASE("a shift pauses when measurements stop, and one outlier does not pause it") {
    const bool unlimited_lifetime = GENERATE(false, true);
    shift_controller_options options;
    options.observation_lifetime = unlimited_lifetime ? duration{24h} : options.observation_lifetime;
    shift_fixture fixture({make_shift("s")}, options);
    fixture.controller.observe("s", {500, 0.5, 1000, start + 5s});
    REQUIRE(fixture.controller.check_targets(start + 6s).empty());
    REQUIRE(fixture.controller.check_targets(start + 3min).empty() == unlimited_lifetime);
}

// Guards against overlapping shifts that together exceed the capacity of the link or the target, and against a shift
// that takes bandwidth from unplanned overflow. Allowances that ignore the overflow exceed the link in more than 20 of
// the 200 rounds.
TEST_CASE("overlapping shifts and unplanned overflow stay within the link and the target") {
    std::mt19937 random(5);
    int uncoordinated_violations = 0;
    for (int round = 0; round < 200; ++round) {
        shift_fixture fixture({make_shift("a", 100 + random() % 2000), make_shift("b", 100 + random() % 2000)});
        const double spare = random() % 3000;
        for (const char* id : {"a", "b"})
            fixture.controller.observe(id, {20, 0, spare, start + 10s});
        const double unplanned = random() % 300;
        const decltype(wide_link) links{{{"north", "gulf"}, {280, unplanned}}};
        const wall_time now = start + 1s * (random() % 90);
        double requests = 0;
        double megabits = 0;
        for (const auto& allowance : fixture.controller.allowances(links, now)) {
            requests += allowance.requests_per_second;
            megabits += allowance.megabits_per_second;
        }
        REQUIRE(requests <= spare + 1e-6);
        REQUIRE(megabits <= std::max(0.0, 280 - unplanned) + 1e-6);
        const double alone = fixture.moved("a", start + 90s) + fixture.moved("b", start + 90s);
        uncoordinated_violations += alone > spare || alone * 0.1 > 280 - unplanned ? 1 : 0;
    }
    REQUIRE(uncoordinated_violations > 20);
}
