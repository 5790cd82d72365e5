#include "base/turn_record.h"

#include <catch2/catch.hpp>

using namespace ragworthinge;
using namespace std::chrono_literals;

// Guards against dating a signal by the moment at which a paused process sees it.
TEST_CASE("an event handled after a pause may be as old as the last turn before the pause") {
    const time_point start = time_point() + 1h;
    turn_record turns(start);
    turns.record_turn(start + 50ms);
    turns.record_turn(start + 100ms);
    CHECK(turns.earliest_occurrence() == start + 50ms);
    // The process pauses. Its first turn afterwards comes before it handles the event that occurred meanwhile.
    turns.record_turn(start + 3s);
    CHECK(turns.earliest_occurrence() == start + 100ms);
}

TEST_CASE("an event before the first turn may be as old as the record") {
    const time_point start = time_point() + 1h;
    turn_record turns(start);
    CHECK(turns.earliest_occurrence() == start);
    turns.record_turn(start + 50ms);
    CHECK(turns.earliest_occurrence() == start);
}
