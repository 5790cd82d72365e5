#include "routing_fixture.h"

#include <catch2/catch.hpp>

#include <random>

using namespace ragworthinge;

namespace {

/// An upstream that sheds requests above its capacity and serves each of the others in `service_time`.
struct simulated_upstream {
    std::uint32_t capacity = 3;
    duration service_time = 20ms;
    std::uint32_t running = 0;
};

struct simulation_result {
    int sheds = 0;
    int completed = 0;
    std::uint32_t highest_cold_load = 0;
};

/// Simulates a closed loop of `callers` requests for the given time. `choose` returns the index of the upstream or
/// nullopt.
template <class Choose>
simulation_result simulate(std::vector<simulated_upstream>& upstreams, int callers, duration time, Choose choose,
                           upstream_selector& selector) {
    struct ending {
        time_point at;
        request_ticket ticket;
        std::size_t upstream;
        upstream_outcome outcome;
        bool operator<(const ending& other) const { return at != other.at ? at < other.at : ticket < other.ticket; }
    };
    std::set<ending> endings;
    simulation_result result;
    request_ticket ticket = 0;
    int idle = callers;
    for (time_point now = test_start; now < test_start + time; now += 1ms) {
        while (!endings.empty() && endings.begin()->at <= now) {
            const ending next = *endings.begin();
            endings.erase(endings.begin());
            const bool shed = next.outcome == upstream_outcome::shed;
            (shed ? result.sheds : result.completed) += 1;
            if (!shed)
                --upstreams[next.upstream].running;
            selector.release(next.ticket, next.outcome, now);
            ++idle;
        }
        for (; idle > 0; --idle) {
            const std::optional<std::size_t> chosen = choose(now);
            if (!chosen)
                break;
            simulated_upstream& upstream = upstreams[*chosen];
            selector.occupy("u" + std::to_string(*chosen), ++ticket, now + 2s, now);
            const bool shed = upstream.running >= upstream.capacity;
            if (!shed)
                ++upstream.running;
            result.highest_cold_load = std::max(result.highest_cold_load, upstream.running);
            endings.insert({now + (shed ? duration{1ms} : upstream.service_time), ticket, *chosen,
                            shed ? upstream_outcome::shed : upstream_outcome::succeeded});
        }
    }
    return result;
}

std::optional<std::size_t> index_of(const std::optional<upstream_id>& upstream) {
    if (!upstream)
        return std::nullopt;
    return std::stoul(upstream->substr(1));
}

} // namespace

// Guards against selection that ignores load. Round robin over the same upstreams, of which one is slow and one accepts
// a single request, causes more sheds and fewer responses.
TEST_CASE("the selector sheds less and completes more than round robin") {
    std::vector<simulated_upstream> upstreams(12);
    upstreams[3].service_time = 200ms;
    upstreams[5].capacity = 1;

    upstream_selector selector;
    selector.configure(make_upstreams(12, 3), upstream_start::warm, test_start);
    auto for_selector = upstreams;
    const auto least_load = simulate(
        for_selector, 30, 10s, [&](time_point now) { return index_of(selector.select(make_entry(0, "x", now), now)); },
        selector);

    upstream_selector slots_only;
    slots_only.configure(make_upstreams(12, 3), upstream_start::warm, test_start);
    auto for_round_robin = upstreams;
    std::size_t turn = 0;
    const auto round_robin = simulate(
        for_round_robin, 30, 10s, [&](time_point) { return std::optional<std::size_t>(turn++ % 12); }, slots_only);

    INFO("selector " << least_load.sheds << " sheds, " << least_load.completed << " responses; round robin "
                     << round_robin.sheds << " sheds, " << round_robin.completed << " responses");
    REQUIRE(least_load.completed > round_robin.completed);
    REQUIRE(least_load.sheds * 10 < round_robin.sheds);
}

// Guards against a large shift using all slots of cold upstreams immediately, as with ramp_start_fraction = 1.
TEST_CASE("cold upstreams are loaded over the ramp") {
    const bool without_ramp = GENERATE(false, true);
    upstream_selector_options options;
    options.ramp_start_fraction = without_ramp ? 1.0 : 0.25;
    upstream_selector selector(options);
    selector.configure(make_upstreams(12, 8), upstream_start::cold, test_start);
    // Upstreams do not warm up without traffic.
    const time_point first = test_start + 1h;
    const bool limited = selector.free_slots(first) == 12 * 2;
    REQUIRE(limited == !without_ramp);
    for (request_ticket ticket = 1; ticket <= 12; ++ticket) {
        const auto chosen = selector.select(make_entry(ticket, "x", first), first);
        selector.occupy(chosen.value(), ticket, first + 2s, first);
        selector.release(ticket, upstream_outcome::succeeded, first + 20ms);
    }
    if (without_ramp)
        return;
    REQUIRE(selector.free_slots(first + 5s) == 12 * 5);
    REQUIRE(selector.free_slots(first + 10s) == 12 * 8);
    REQUIRE(selector.free_slots(first + 10s + 11min) == 12 * 2);
}

// Guards against a slot being reused while the upstream may still run the timed-out request. Calling `release` instead
// of `abandon` frees the slot immediately.
TEST_CASE("the slot of a timed-out request stays occupied until the grace period has passed") {
    const bool released_at_once = GENERATE(false, true);
    upstream_selector selector;
    selector.configure(make_upstreams(1, 1), upstream_start::warm, test_start);
    const auto entry = make_entry(1, "x", test_start);
    selector.occupy("u0", 1, entry.deadline, test_start);
    if (released_at_once)
        selector.release(1, upstream_outcome::timed_out, entry.deadline);
    else
        selector.abandon(1, upstream_outcome::timed_out, entry.deadline);
    selector.expire(entry.deadline + 499ms);
    REQUIRE(selector.select(entry, entry.deadline + 499ms).has_value() == released_at_once);
    selector.expire(entry.deadline + 500ms);
    REQUIRE(selector.select(entry, entry.deadline + 500ms) == "u0");
    selector.release(1, upstream_outcome::succeeded, entry.deadline + 600ms); // A late confirmation has no effect.
    REQUIRE(selector.slots_in_use("u0") == 0);
}

// Guards against a confirmed end not freeing the slot early, and against losing the slot count of a removed upstream.
TEST_CASE("a confirmed end frees the slot and an unconfigured upstream is removed when idle") {
    upstream_selector selector;
    selector.configure(make_upstreams(2, 1), upstream_start::warm, test_start);
    selector.occupy("u1", 1, test_start + 2s, test_start);
    selector.configure(make_upstreams(1, 1), upstream_start::warm, test_start);
    selector.abandon(1, upstream_outcome::cancelled, test_start);
    REQUIRE(selector.slots_in_use("u1") == 1);
    selector.release(1, upstream_outcome::cancelled, test_start + 1s);
    REQUIRE(selector.capacity(test_start + 1s).size() == 1);
}

// Guards against new requests to a leaving upstream or one without a slot share, and beyond a reduced share.
TEST_CASE("leaving upstreams and those without a slot share get no requests") {
    upstream_selector_options options;
    options.require_slot_share = true;
    upstream_selector selector(options);
    auto upstreams = make_upstreams(2, 3);
    selector.configure(upstreams, upstream_start::warm, test_start);
    const auto entry = make_entry(1, "x", test_start);
    REQUIRE_FALSE(selector.select(entry, test_start).has_value());
    selector.set_slot_share("u0", 2);
    selector.set_slot_share("u1", 2);
    REQUIRE(selector.free_slots(test_start) == 4);

    selector.occupy("u0", 1, test_start + 2s, test_start);
    selector.set_slot_share("u0", 1);
    REQUIRE(selector.select(entry, test_start) == "u1");
    upstreams[1].state = upstream_state::leaving;
    selector.configure(upstreams, upstream_start::warm, test_start);
    REQUIRE_FALSE(selector.select(entry, test_start).has_value());
    selector.set_slot_share("u0", 2);
    selector.set_listed_as_leaving("u0", true);
    REQUIRE_FALSE(selector.select(entry, test_start).has_value());
    REQUIRE_FALSE(selector.has_active_upstream());
}

// Guards against a retry that is sent to the failure domain of the failed attempt, and against one that waits although
// that failure domain is the only one with free slots.
TEST_CASE("a retry avoids the failure domain of the first attempt") {
    upstream_selector selector;
    selector.configure(make_upstreams(4, 1), upstream_start::warm, test_start);
    auto entry = make_entry(1, "x", test_start);
    entry.avoided_failure_domain = "a";
    selector.occupy("u1", 1, test_start + 2s, test_start);
    REQUIRE(selector.select(entry, test_start) == "u3");
    selector.occupy("u3", 2, test_start + 2s, test_start);
    REQUIRE(selector.select(entry, test_start) == "u0");
}

// Guards against a non-idempotent request being used as the probe of an upstream that failed.
TEST_CASE("probes are sent with idempotent requests") {
    upstream_selector selector;
    selector.configure(make_upstreams(2, 3), upstream_start::warm, test_start);
    for (request_ticket ticket = 1; ticket <= 3; ++ticket) {
        selector.occupy("u0", ticket, test_start + 2s, test_start);
        selector.release(ticket, upstream_outcome::unreachable, test_start);
    }
    REQUIRE(selector.health("u0", test_start) == upstream_health::ejected);
    selector.occupy("u1", 9, test_start + 9s, test_start);
    auto entry = make_entry(4, "x", test_start + 1s);
    REQUIRE(selector.select(entry, test_start + 1s) == "u0");
    entry.idempotent = false;
    REQUIRE(selector.select(entry, test_start + 1s) == "u1");
    selector.occupy("u0", 10, test_start + 9s, test_start + 1s);
    entry.idempotent = true;
    REQUIRE(selector.select(entry, test_start + 1s) == "u1");
}

// Guards against ejections turning a fault common to all upstreams into an outage. Unreachable upstreams are all
// ejected.
TEST_CASE("error answers eject at most half of the upstreams") {
    const auto outcome = GENERATE(upstream_outcome::error_response, upstream_outcome::unreachable);
    upstream_selector selector;
    selector.configure(make_upstreams(4, 3), upstream_start::warm, test_start);
    for (request_ticket ticket = 0; ticket < 12; ++ticket) {
        selector.occupy("u" + std::to_string(ticket % 4), ticket, test_start + 2s, test_start);
        selector.release(ticket, outcome, test_start);
    }
    const bool usable = selector.select(make_entry(99, "x", test_start), test_start).has_value();
    REQUIRE(usable == (outcome == upstream_outcome::error_response));
}
