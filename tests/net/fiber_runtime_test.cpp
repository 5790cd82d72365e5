#include "net/fiber_runtime.h"
#include "net/timer_service.h"

#include <boost/fiber/operations.hpp>
#include <catch2/catch.hpp>

using namespace ragworthinge;
using namespace std::chrono_literals;

// Guards against the event loop blocking in Asio while a fiber resumed by another fiber is ready.
TEST_CASE("fibers that yield to each other finish without a timer") {
    fiber_runtime runtime;
    int finished = 0;
    for (int index = 0; index < 10; ++index) {
        runtime.spawn([&] {
            for (int turn = 0; turn < 100; ++turn)
                boost::this_fiber::yield();
            if (++finished == 10)
                runtime.stop();
        });
    }
    runtime.run();
    REQUIRE(finished == 10);
}

// Guards against a subscription that still calls back after it, and the owner of the callback, were destroyed.
TEST_CASE("a destroyed timer subscription is not called again") {
    fiber_runtime runtime;
    timer_service timers(runtime);
    int calls = 0;
    auto subscription = timers.subscribe(1ms, [&](time_point) { ++calls; });
    runtime.spawn([&] {
        runtime.sleep_for(50ms);
        subscription = timer_subscription();
        const int calls_at_end = calls;
        runtime.sleep_for(20ms);
        CHECK(calls == calls_at_end);
        CHECK(calls > 5);
        runtime.stop();
    });
    runtime.run();
}
