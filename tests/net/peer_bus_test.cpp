#include "net/peer_bus.h"

#include "net/fiber_runtime.h"

#include <catch2/catch.hpp>

using namespace ragworthinge;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t first_port = 18650;

} // namespace

// Guards against replies that resume the wrong fiber when many requests are in progress.
TEST_CASE("each request gets the reply to its own payload") {
    fiber_runtime runtime;
    const network_endpoint address{"127.0.0.1", first_port};
    auto bus = peer_bus::open(runtime, {.listen = address, .fleet_secret = "secret"}, [&](std::string_view request) {
        runtime.sleep_for(std::chrono::microseconds(request.size() % 7 * 300));
        return "reply to " + std::string(request);
    });
    REQUIRE(bus.has_value());
    int finished = 0;
    int wrong_replies = 0;
    for (int index = 0; index < 50; ++index) {
        runtime.spawn([&, index] {
            const std::string text = std::string(static_cast<std::size_t>(index), 'x') + std::to_string(index);
            const auto reply = bus.value()->request(address, text, 5s);
            if (!reply || reply.value() != "reply to " + text)
                ++wrong_replies;
            if (++finished == 50)
                runtime.stop();
        });
    }
    runtime.run();
    CHECK(wrong_replies == 0);
}

// Guards against messages from outside the fleet reaching the decision core.
TEST_CASE("a request signed with another secret is neither handled nor answered") {
    fiber_runtime runtime;
    const network_endpoint address{"127.0.0.1", first_port + 1};
    int handled = 0;
    auto bus = peer_bus::open(runtime, {.listen = address, .fleet_secret = "right"}, [&](std::string_view) {
        ++handled;
        return std::string("reply");
    });
    auto unauthorized_bus = peer_bus::open(runtime, {.listen = {"127.0.0.1", first_port + 2}, .fleet_secret = "wrong"},
                                           [](std::string_view) { return std::string(); });
    REQUIRE(bus.has_value());
    REQUIRE(unauthorized_bus.has_value());
    runtime.spawn([&] {
        const auto reply = unauthorized_bus.value()->request(address, "hello", 300ms);
        CHECK_FALSE(reply.has_value());
        runtime.stop();
    });
    runtime.run();
    CHECK(handled == 0);
}

// Guards against an unreachable peer blocking the requesting fiber beyond the timeout.
TEST_CASE("a request to a closed port fails at its timeout") {
    fiber_runtime runtime;
    auto bus = peer_bus::open(runtime, {.listen = {"127.0.0.1", first_port + 3}, .fleet_secret = "secret"},
                              [](std::string_view) { return std::string(); });
    REQUIRE(bus.has_value());
    runtime.spawn([&] {
        const time_point start = monotonic_clock::now();
        const auto reply = bus.value()->request({"127.0.0.1", first_port + 9}, "hello", 200ms);
        CHECK_FALSE(reply.has_value());
        CHECK(monotonic_clock::now() - start < 2s);
        runtime.stop();
    });
    runtime.run();
}
