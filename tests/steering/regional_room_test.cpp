#include "steering/regional_room.h"

#include "steering/steering_fixture.h"

#include <catch2/catch.hpp>

using namespace ragworthinge;
using namespace std::chrono_literals;

namespace {

/// A room whose upstreams have had more requests than they can work on for a second.
regional_room make_short_room(double own_slots) {
    regional_room room;
    for (const duration time : {0ms, 1000ms})
        room.update({.own_slots = own_slots, .load = 3}, test_start + time);
    return room;
}

} // namespace

TEST_CASE(
    "a host's part of the slots binds while upstreams have more requests than slots, and for some time after it") {
    regional_room room;
    room.update({.own_slots = 1, .load = 0.5}, test_start);
    CHECK(!room.is_short());
    room.update({.own_slots = 1, .load = 3}, test_start + 2s);
    REQUIRE(room.is_short());
    CHECK(room.limit() == 1);
    for (time_point now = test_start + 2s; now < test_start + 1min; now += 100ms)
        room.update({.own_slots = 1, .load = 0}, now);
    CHECK(!room.is_short());
}

// Guards against a factor that goes on falling by the load from before a pause in which there were no requests.
TEST_CASE("a room that was short has room for requests that come after a pause") {
    regional_room room = make_short_room(1);
    REQUIRE(room.is_short());
    room.update({.own_slots = 1, .load = 0}, test_start + 1min);
    CHECK(!room.is_short());
}

TEST_CASE("a host whose part is not a whole number of slots keeps to it on average") {
    regional_room room = make_short_room(1.5);
    const time_point begin = test_start + 1s;
    constexpr int steps = 300;
    int in_flight_sum = 0;
    std::vector<time_point> ends;
    for (int step = 0; step < steps; ++step) {
        const time_point now = begin + step * 100ms;
        while (!ends.empty() && ends.front() <= now) {
            room.record_end(1s, now);
            ends.erase(ends.begin());
        }
        // The load is as wanted, so the part neither grows nor shrinks.
        room.update({.own_slots = 1.5, .load = regional_room_options().target_load}, now);
        room.record_demand("large", now);
        while (room.may_send("large", now)) {
            room.record_start(now);
            ends.push_back(now + 1s);
        }
        in_flight_sum += static_cast<int>(ends.size());
    }
    CHECK(in_flight_sum / static_cast<double>(steps) == Approx(room.limit()).margin(0.2));
}

// Guards against a small account that finds the part used up by a large one.
TEST_CASE("an account within its fair share may send although the part of the slots is used up") {
    regional_room room = make_short_room(2);
    const time_point now = test_start + 1s;
    for (int count = 0; count < 50; ++count)
        room.record_demand("large", now);
    while (room.may_send("large", now))
        room.record_start(now);
    room.record_demand("small", now);
    CHECK(room.may_send("small", now));
    CHECK(!room.may_send("large", now));
    CHECK(room.expected_wait(now) > 0s);
    // Accounts that are all small cannot exceed the part without bound.
    std::size_t sent = 0;
    for (int account = 0; account < 100; ++account) {
        const std::string name = "account-" + std::to_string(account);
        room.record_demand(name, now);
        if (room.may_send(name, now)) {
            room.record_start(now);
            ++sent;
        }
    }
    CHECK(sent <= 4);
}
