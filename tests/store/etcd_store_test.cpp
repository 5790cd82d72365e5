#include "store/etcd_store.h"

#include "net/fiber_runtime.h"
#include "standins/standin_gateway.h"

#include <boost/fiber/fiber.hpp>
#include <catch2/catch.hpp>

#include <exception>
#include <numeric>

using namespace ragworthinge;
using namespace std::chrono_literals;
using standins::standin_gateway;

namespace {

const boost::asio::ip::tcp::endpoint any_loopback_port(boost::asio::ip::make_address("127.0.0.1"), 0);

etcd_store_options quick_options() {
    etcd_store_options options;
    options.call_timeout = 200ms;
    options.connect_timeout = 100ms;
    options.budget = {.rate_per_second = 100000, .burst = 100000};
    options.backoff = {.base = 1ms, .cap = 5ms};
    options.breaker.failure_threshold = 1000;
    return options;
}

/// Runs a test body in a fiber with a store client connected to a stand-in for the store.
class store_fixture {
public:
    template <class Body>
    void run(etcd_store_options options, Body body) {
        std::exception_ptr thrown;
        runtime.spawn([&] {
            try {
                REQUIRE(gateway.listen(any_loopback_port));
                options.endpoints.push_back("127.0.0.1:" + std::to_string(gateway.port()));
                store = etcd_store::create(runtime, options).value();
                body();
            } catch (...) {
                thrown = std::current_exception();
            }
            if (store)
                store->close();
            gateway.stop();
            runtime.stop();
        });
        runtime.run();
        if (thrown)
            std::rethrow_exception(thrown);
    }

    template <class Body>
    void run(Body body) {
        run(quick_options(), std::move(body));
    }

    /// Waits until the fiber has ended. After two seconds it closes the client's connections, so that a watch that
    /// missed an event fails the test instead of hanging.
    void join(boost::fibers::fiber& fiber, const bool& ended) {
        for (int waited_ms = 0; waited_ms < 2000 && !ended; ++waited_ms)
            runtime.sleep_for(1ms);
        if (!ended)
            store->close();
        fiber.join();
    }

    void put_directly(const std::string& key, const std::string& value) {
        gateway.store().begin_changes();
        gateway.store().put(key, value, 0);
        gateway.store().end_changes();
        gateway.announce_change();
    }

    fiber_runtime runtime;
    standin_gateway gateway{runtime, {}};
    std::unique_ptr<etcd_store> store;
};

store_transaction put_if(const std::string& key, std::int64_t mod_revision, const std::string& value) {
    return {.compares = {{key, mod_revision}},
            .success = {{.type = store_operation::kind::put, .key = key, .value = value}},
            .failure = {{.type = store_operation::kind::get, .key = key, .value = {}}}};
}

template <class Value>
error_code code_of(const result<Value>& outcome) {
    REQUIRE(!outcome);
    return outcome.error().code;
}

} // namespace

// Guards against wrong base64, wrong compare targets and swapped transaction branches.
TEST_CASE_METHOD(store_fixture, "of two compare-and-swaps one succeeds and the other returns the current value") {
    run([&] {
        const std::string key("claims/a\0b\xff", 10);
        const std::string value("\x00\x01\xfe\"", 4);
        const auto won = store->commit(put_if(key, 0, value));
        REQUIRE(won);
        CHECK(won.value().succeeded);
        const auto lost = store->commit(put_if(key, 0, "other"));
        REQUIRE(lost);
        CHECK_FALSE(lost.value().succeeded);
        REQUIRE(lost.value().entries.size() == 1);
        CHECK(lost.value().entries[0].value == value);
        CHECK(lost.value().entries[0].mod_revision == won.value().position.revision);
        CHECK(store->commit(put_if(key, won.value().position.revision, "next")).value().succeeded);
        // This is the revision at which the key was created, but the key has changed since.
        CHECK_FALSE(store->commit(put_if(key, won.value().position.revision, "outdated")).value().succeeded);
        CHECK(store->get(key).value()->value == "next");
        CHECK_FALSE(store->get("claims/").value().has_value());
        put_directly("claimt", "outside");
        CHECK(store->get_prefix("claims").value().entries.size() == 1);
        CHECK(store->get_prefix("").value().entries.size() == 2);
        const auto removed =
            store->commit({.compares = {},
                           .success = {{.type = store_operation::kind::remove, .key = key, .value = {}}},
                           .failure = {}});
        REQUIRE(removed);
        CHECK_FALSE(store->get(key).value().has_value());
    });
}

// Guards against retrying a write whose response was lost: the retry would run twice, or conflict with its own first
// attempt.
TEST_CASE_METHOD(store_fixture, "a write without a response is reported as outcome_unknown and not retried") {
    run([&] {
        gateway.faults().apply_but_lose_reply = 1;
        CHECK(code_of(store->commit(put_if("a", 0, "tag"))) == error_code::outcome_unknown);
        CHECK(gateway.count("txn") == 1);
        CHECK(store->get("a").value()->value == "tag");
        gateway.faults().fail_before_apply = 1;
        CHECK(code_of(store->grant_lease(5s)) == error_code::outcome_unknown);
        CHECK(gateway.count("lease_grant") == 1);
        CHECK(store->counters().unknown_outcomes == 2);
    });
}

// Guards against reporting every write after a store restart as outcome_unknown because its pooled connection was
// closed.
TEST_CASE_METHOD(store_fixture, "a pooled connection that the store closed is not used for a write") {
    run([&] {
        REQUIRE(store->get("a"));
        gateway.set_down(true);
        runtime.sleep_for(5ms);
        gateway.set_down(false);
        CHECK(store->commit(put_if("a", 0, "x")));
    });
}

// Guards against failing a read at the first failed connection, and against reporting an unsent write as
// outcome_unknown.
TEST_CASE_METHOD(store_fixture,
                 "while the store is down, reads are retried and unsent writes are reported as unavailable") {
    run([&] {
        REQUIRE(gateway.listen_control(any_loopback_port));
        gateway.set_down(true);
        CHECK(code_of(store->commit(put_if("a", 0, "x"))) == error_code::unavailable);
        CHECK(code_of(store->get("a")) == error_code::unavailable);
        boost::fibers::fiber recovery([&] {
            runtime.sleep_for(50ms);
            gateway.set_down(false);
        });
        const auto read = store->get("a");
        recovery.join();
        CHECK(read);
        CHECK(store->counters().unknown_outcomes == 0);
    });
}

// Guards against a call that blocks beyond its deadline.
TEST_CASE_METHOD(store_fixture, "a call to a slow store fails at its deadline") {
    run([&] {
        gateway.faults().slow_ms = 600;
        const time_point start = monotonic_clock::now();
        CHECK(code_of(store->get("a")) == error_code::timeout);
        CHECK(code_of(store->commit(put_if("a", 0, "x"))) == error_code::outcome_unknown);
        const auto elapsed = monotonic_clock::now() - start;
        CHECK(elapsed >= 350ms);
        CHECK(elapsed < 900ms);
    });
}

// Guards against accepting a malformed response: a lost write would count as successful, an unread key as absent.
TEST_CASE_METHOD(store_fixture, "a malformed response is an error and the outcome of a write is unknown") {
    run([&] {
        gateway.faults().garbage = true;
        CHECK(code_of(store->get("a")) == error_code::protocol_violation);
        CHECK(code_of(store->keep_lease_alive(1)) == error_code::protocol_violation);
        CHECK(code_of(store->commit(put_if("a", 0, "x"))) == error_code::outcome_unknown);
        CHECK(gateway.count("txn") == 1);
    });
}

// Guards against reporting a rejected write as outcome_unknown, after which the value would have to be read back.
TEST_CASE_METHOD(store_fixture, "a write rejected by an overloaded store has no effect") {
    run([&] {
        gateway.faults().overloaded = true;
        CHECK(code_of(store->commit(put_if("a", 0, "x"))) == error_code::budget_exhausted);
        CHECK(gateway.count("txn") == 1);
        gateway.faults().overloaded = false;
        CHECK_FALSE(store->get("a").value().has_value());
    });
}

// Guards against returning to an older configuration or fence after a newer one was read.
TEST_CASE_METHOD(store_fixture, "a read response older than an earlier response is rejected") {
    run([&] {
        gateway.faults().stale_reads = true;
        REQUIRE(store->get("a"));
        REQUIRE(store->commit(put_if("a", 0, "x")));
        CHECK(code_of(store->get("a")) == error_code::protocol_violation);
        // A lagging member responds to a renewal with its own older revision; the renewal is valid.
        const std::int64_t lease = gateway.store().grant_lease(0, 5s, monotonic_clock::now());
        CHECK(store->keep_lease_alive(lease));
        gateway.faults().stale_reads = false;
        CHECK(store->get("a").value()->value == "x");
    });
}

// Guards against treating an ended lease as valid.
TEST_CASE_METHOD(store_fixture, "an ended lease is reported as not_found and its keys are removed") {
    run([&] {
        const auto lease = store->grant_lease(10s);
        REQUIRE(lease);
        store_transaction join = put_if("hosts/a", 0, "x");
        join.success[0].lease = lease.value();
        REQUIRE(store->commit(join));
        CHECK(store->keep_lease_alive(lease.value()).value() == 10s);
        gateway.store().expire_all_leases();
        CHECK(code_of(store->keep_lease_alive(lease.value())) == error_code::not_found);
        CHECK_FALSE(store->get("hosts/a").value().has_value());
        CHECK(code_of(store->commit(join)) == error_code::not_found);
    });
}

// Guards against missed and repeated events when streams break between and within bursts of changes.
TEST_CASE_METHOD(store_fixture, "a watch delivers each change exactly once although its stream breaks repeatedly") {
    run([&] {
        constexpr std::int64_t changes = 300;
        const std::int64_t first = gateway.store().revision();
        std::vector<std::int64_t> seen;
        bool done = false;
        boost::fibers::fiber watcher([&] {
            const auto ended = store->watch_prefix("w/", store_position{.revision = first},
                                                   [&](const std::vector<store_event>& events) {
                                                       for (const store_event& event : events)
                                                           seen.push_back(event.position.revision);
                                                       return seen.size() < changes;
                                                   });
            CHECK((ended && ended.value() == store_position{.revision = first + changes}));
            done = true;
        });
        for (std::int64_t index = 0; index < changes; ++index) {
            put_directly("w/" + std::to_string(index % 7), std::to_string(index));
            if (index % 10 == 3)
                gateway.drop_watches();
            if (index % 3 == 0)
                runtime.sleep_for(1ms);
        }
        join(watcher, done);
        std::vector<std::int64_t> expected(changes);
        std::iota(expected.begin(), expected.end(), first + 1);
        CHECK(seen == expected);
        CHECK(store->counters().watch_openings > 10);
    });
}

// Guards against waiting indefinitely on a stream whose peer stopped sending without closing it.
TEST_CASE_METHOD(store_fixture, "a watch without messages is reopened and continues") {
    etcd_store_options options = quick_options();
    options.watch_idle_timeout = 50ms;
    run(options, [&] {
        bool delivered = false;
        bool done = false;
        boost::fibers::fiber watcher([&] {
            const auto ended =
                store->watch_prefix("w/", store_position{.revision = 1}, [&](const std::vector<store_event>& events) {
                    delivered = events.size() == 1 && events[0].value == "x";
                    return false;
                });
            CHECK(ended);
            done = true;
        });
        runtime.sleep_for(20ms);
        gateway.faults().mute_watches = true;
        put_directly("w/a", "x");
        runtime.sleep_for(20ms);
        CHECK_FALSE(delivered);
        // Only streams opened from now on deliver events again, as after a network failure.
        gateway.faults().mute_watches = false;
        join(watcher, done);
        CHECK(delivered);
        CHECK(store->counters().watch_openings >= 2);
    });
}

// Guards against a watch that skips compacted revisions without an error.
TEST_CASE_METHOD(store_fixture, "a watch from a compacted revision fails with not_found") {
    run([&] {
        for (int index = 0; index < 5; ++index)
            put_directly("w/a", std::to_string(index));
        REQUIRE(gateway.store().compact(5));
        bool done = false;
        boost::fibers::fiber watcher([&] {
            CHECK(code_of(store->watch_prefix("w/", store_position{.revision = 2}, [](const auto&) { return true; })) ==
                  error_code::not_found);
            done = true;
        });
        join(watcher, done);
    });
}

// Guards against a response that arrives after its call timed out and is read as the response to the next call.
TEST_CASE_METHOD(store_fixture, "a late response is not read by the next call") {
    run([&] {
        gateway.faults().slow_ms = 250;
        CHECK(code_of(store->commit(put_if("a", 0, "x"))) == error_code::outcome_unknown);
        gateway.faults().slow_ms = 0;
        runtime.sleep_for(100ms);
        const auto next = store->commit(put_if("a", 0, "y"));
        REQUIRE(next);
        CHECK_FALSE(next.value().succeeded);
        CHECK(next.value().entries.at(0).value == "x");
    });
}

// Guards against one host consuming the call capacity of the whole fleet.
TEST_CASE_METHOD(store_fixture, "calls beyond the host's budget fail without reaching the store") {
    etcd_store_options options = quick_options();
    options.budget = {.rate_per_second = 0.001, .burst = 3};
    run(options, [&] {
        for (int index = 0; index < 3; ++index)
            CHECK(store->get("a"));
        CHECK(code_of(store->get("a")) == error_code::budget_exhausted);
        CHECK(code_of(store->commit(put_if("a", 0, "x"))) == error_code::budget_exhausted);
        CHECK(gateway.count("range") == 3);
        CHECK(gateway.count("txn") == 0);
    });
}

// Guards against continued calls to a failing store, and against not using it again after it recovered.
TEST_CASE_METHOD(store_fixture, "calls to a failing store are suspended until it has recovered") {
    etcd_store_options options = quick_options();
    options.breaker = {.failure_threshold = 3, .open_time = {.base = 60ms, .cap = 60ms, .min_fraction = 1}};
    run(options, [&] {
        gateway.faults().down = true;
        for (int index = 0; index < 50; ++index)
            CHECK_FALSE(store->get("a"));
        CHECK(gateway.count("range") == 3);
        gateway.faults().down = false;
        runtime.sleep_for(80ms);
        CHECK(store->get("a"));
        CHECK(store->get("a"));
    });
}

// Guards against a watch that is the breaker's trial call and blocks all other calls while it is open.
TEST_CASE_METHOD(store_fixture, "other calls proceed while a watch was the first call to a recovered store") {
    etcd_store_options options = quick_options();
    options.breaker = {.failure_threshold = 1, .open_time = {.base = 20ms, .cap = 20ms, .min_fraction = 1}};
    run(options, [&] {
        gateway.faults().down = true;
        CHECK_FALSE(store->get("a"));
        gateway.faults().down = false;
        runtime.sleep_for(30ms);
        bool done = false;
        boost::fibers::fiber watcher([&] {
            (void)store->watch_prefix("w/", store_position{.revision = 1}, [](const auto&) { return false; });
            done = true;
        });
        runtime.sleep_for(20ms);
        CHECK(store->get("a"));
        put_directly("w/a", "x");
        join(watcher, done);
    });
}

// Guards against a stand-in that ignores the simulated latency between regions, and against an ignored source address.
TEST_CASE_METHOD(store_fixture, "the stand-in delays each client by its address") {
    gateway.set_delay("127.0.0.2", 60ms);
    etcd_store_options options = quick_options();
    options.local_address = "127.0.0.2";
    run(options, [&] {
        const time_point start = monotonic_clock::now();
        CHECK(store->get("a"));
        CHECK(monotonic_clock::now() - start >= 60ms);
    });
}

// Guards against a client that uses only its first endpoint.
TEST_CASE_METHOD(store_fixture, "calls fail over to an endpoint that responds") {
    standin_gateway hanging(runtime, {});
    etcd_store_options options = quick_options();
    hanging.faults().hang = true;
    runtime.spawn([&] { (void)hanging.listen(any_loopback_port); });
    options.endpoints = {"127.0.0.1:1"}; // Nothing listens on this port.
    run(options, [&] {
        CHECK(store->commit(put_if("a", 0, "x")));
        etcd_store_options two = quick_options();
        two.endpoints = {"127.0.0.1:" + std::to_string(hanging.port()), "127.0.0.1:" + std::to_string(gateway.port())};
        const auto second = etcd_store::create(runtime, two).value();
        const auto read = second->get("a");
        CHECK((read && read.value()->value == "x"));
        CHECK(second->counters().retries == 1);
        second->close();
        hanging.stop();
    });
}

TEST_CASE("invalid options are rejected") {
    fiber_runtime runtime;
    CHECK_FALSE(etcd_store::create(runtime, {}));
    for (const char* endpoint : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:70000", "name:1"}) {
        etcd_store_options options;
        options.endpoints = {endpoint};
        CHECK_FALSE(etcd_store::create(runtime, options));
    }
    etcd_store_options options;
    options.endpoints = {"[::1]:2379"};
    CHECK(etcd_store::create(runtime, options));
    options.call_timeout = 0ms;
    CHECK_FALSE(etcd_store::create(runtime, options));
}
