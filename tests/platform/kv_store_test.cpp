#include "kv_store.h"

#include "base/encoding.h"
#include "net/fiber_runtime.h"
#include "standins/standin_server.h"

#include <catch2/catch.hpp>

#include <deque>
#include <exception>

using namespace ragworthinge;
using namespace std::chrono_literals;
using standins::standin_server;

namespace {

/// A store that responds to each call with the next scripted reply.
class kv_store_fixture {
public:
    struct reply {
        unsigned status = 200;
        std::string body;
        std::string era = {}; ///< Absent if empty.
        bool is_lost = false; ///< The call is read and the connection closed without a response.
        duration delay{0};
    };

    kv_store_fixture()
        : server(runtime, [this](auto& socket, auto& request) {
              calls.push_back(std::string(request.method_string()) + " " + std::string(request.target()));
              bodies.push_back(request.body());
              if (replies.empty())
                  return false;
              const reply next = replies.front();
              replies.pop_front();
              if (next.delay > duration::zero())
                  runtime.sleep_for(next.delay);
              const std::string era = next.era.empty() ? "" : "Store-Era: " + next.era + "\r\n";
              return !next.is_lost && standins::write_json(socket, request, next.status, next.body, era);
          }) {}

    void run(const std::function<void(kv_store&)>& body) {
        std::exception_ptr thrown;
        runtime.spawn([&] {
            try {
                REQUIRE(server.listen({boost::asio::ip::make_address("127.0.0.1"), 0}));
                kv_store store(runtime, {.address = {"127.0.0.1", server.port()},
                                         .call_timeout = 200ms,
                                         .connect_timeout = 100ms,
                                         .watch_time = 50ms});
                body(store);
            } catch (...) {
                thrown = std::current_exception();
            }
            server.stop();
            runtime.stop();
        });
        runtime.run();
        if (thrown)
            std::rethrow_exception(thrown);
    }

    fiber_runtime runtime;
    standin_server server;
    std::deque<reply> replies;
    std::vector<std::string> calls;
    std::vector<std::string> bodies;
};

std::string item(const std::string& key, const std::string& value, int revision) {
    return R"({"key":")" + key + R"(","value":")" + encode_base64(value) + R"(","rev":)" + std::to_string(revision) +
           R"(,"createRevision":1,"lease":0})";
}

store_transaction put_transaction() {
    store_transaction transaction;
    transaction.compares.push_back({.key = "a", .mod_revision = 4});
    transaction.success.push_back({.type = store_operation::kind::put, .key = "a", .value = "v", .lease = 9});
    return transaction;
}

} // namespace

TEST_CASE("a prefix is read page by page") {
    kv_store_fixture host;
    host.replies.push_back({.body = R"({"items":[)" + item("op/a", "1", 5) + R"(],"truncated":true,"at":7})"});
    host.replies.push_back({.body = R"({"items":[)" + item("op/b c", "2", 9) + R"(],"truncated":false,"at":9})"});
    host.run([&](kv_store& store) {
        const auto range = store.get_prefix("op/");
        REQUIRE(range);
        REQUIRE(range.value().entries.size() == 2);
        CHECK(range.value().entries[1].value == "2");
        // A watch from the first page's revision repeats changes that happened between the pages.
        CHECK(range.value().position == store_position{.revision = 7});
        CHECK(host.calls[1] == "GET /api/kv-range?prefix=op/&after=op/a");
    });
}

TEST_CASE("a watch delivers events and its position") {
    kv_store_fixture host;
    host.replies.push_back(
        {.body = R"({"events":[)" + item("op/a", "1", 5) + R"(,{"key":"op/b","rev":6,"removed":true}],"at":6})"});
    host.replies.push_back({.status = 410});
    host.run([&](kv_store& store) {
        std::vector<store_event> events;
        const auto position = store.watch_prefix("", {.revision = 4}, [&](const std::vector<store_event>& delivered) {
            events = delivered;
            return true;
        });
        REQUIRE(position);
        CHECK(position.value() == store_position{.revision = 6});
        REQUIRE(events.size() == 2);
        CHECK(events[0].value == std::string("1"));
        CHECK_FALSE(events[1].value);
        CHECK(host.calls[0] == "GET /api/kv-watch?prefix=&after=4&waitMs=50");
        CHECK(store.watch_prefix("", {.revision = 6}, [](const auto&) { return true; }).error().code ==
              error_code::not_found);
    });
}

TEST_CASE("transactions, leases and single keys use the store's HTTP calls") {
    kv_store_fixture host;
    host.replies = {{.body = R"({"rev":12})"},
                    {.status = 412, .body = R"({"items":[]})"},
                    {.status = 404},
                    {.body = R"({"lease":77,"ttlMs":8000})"},
                    {.body = R"({"ttlMs":8000})"},
                    {.status = 404},
                    {.body = item("k", "v", 3)},
                    {.status = 404}};
    host.run([&](kv_store& store) {
        const auto committed = store.commit(put_transaction());
        REQUIRE(committed);
        CHECK(committed.value().succeeded);
        CHECK(committed.value().position.revision == 12);
        CHECK(host.bodies[0] ==
              R"({"expect":[{"key":"a","rev":4}],"puts":[{"key":"a","value":"dg==","lease":9}],"deletes":[]})");
        CHECK_FALSE(store.commit(put_transaction()).value().succeeded);
        CHECK(store.commit(put_transaction()).error().code == error_code::not_found);
        CHECK(store.grant_lease(8s).value() == 77);
        CHECK(store.keep_lease_alive(77).value() == 8s);
        CHECK(host.calls[4] == "POST /api/kv-keep/77");
        CHECK(store.keep_lease_alive(77).error().code == error_code::not_found);
        CHECK(store.get("k").value()->value == "v");
        CHECK_FALSE(store.get("k").value());
    });
}

// Guards against a lost response that is taken for a rejection, and a rejection that is taken for an unknown outcome.
TEST_CASE("errors tell whether a write may have taken effect") {
    kv_store_fixture host;
    host.replies = {{.is_lost = true}, {.status = 503}, {.status = 429}, {.is_lost = true}};
    host.run([&](kv_store& store) {
        CHECK(store.commit(put_transaction()).error().code == error_code::outcome_unknown);
        CHECK(store.commit(put_transaction()).error().code == error_code::unavailable);
        CHECK(store.commit(put_transaction()).error().code == error_code::budget_exhausted);
        CHECK_FALSE(store.get("k"));
    });
}

// Guards against a store that accepts connections but sends nothing, and against dead connections that stay pooled.
TEST_CASE("a call to an unresponsive store fails at the deadline, and the next call uses another connection") {
    kv_store_fixture host;
    host.replies = {{.body = item("k", "v", 3), .delay = 600ms}, {.body = item("k", "v", 3)}};
    host.run([&](kv_store& store) {
        const time_point started = monotonic_clock::now();
        CHECK(store.get("k").error().code == error_code::timeout);
        CHECK(monotonic_clock::now() - started < 400ms);
        CHECK(store.get("k").value()->value == "v");
    });
}

TEST_CASE("malformed responses are errors") {
    for (const std::string body : {"", "[]", "{", R"({"items":3,"at":1})", R"({"items":[{"key":"a"}],"at":1})",
                                   R"({"items":[{"key":"a","value":"***","rev":1}],"at":1})", R"({"items":[]})"}) {
        kv_store_fixture host;
        host.replies.push_back({.body = body});
        host.run(
            [&](kv_store& store) { CHECK(store.get_prefix("op/").error().code == error_code::protocol_violation); });
    }
}

// Guards against changes that are missed because the store, back from a copy, has passed the revision that the host
// watches from.
TEST_CASE("a watch from an earlier era fails although the store has its revision") {
    kv_store_fixture host;
    host.replies.push_back({.body = R"({"items":[],"truncated":false,"at":7})", .era = "4"});
    host.replies.push_back({.body = R"({"events":[)" + item("op/a", "1", 9) + R"(],"at":9})", .era = "5"});
    host.replies.push_back({.body = R"({"events":[)" + item("op/a", "1", 9) + R"(],"at":9})"});
    host.run([&](kv_store& store) {
        const auto range = store.get_prefix("op/");
        REQUIRE(range);
        REQUIRE(range.value().position == store_position{.era = store_era{4}, .revision = 7});
        int events = 0;
        const auto count = [&](const std::vector<store_event>& delivered) {
            events += static_cast<int>(delivered.size());
            return true;
        };
        CHECK(store.watch_prefix("", range.value().position, count).error().code == error_code::not_found);
        CHECK(events == 0);
        // A response that does not name its era belongs to the one known.
        const auto position = store.watch_prefix("", {.era = store_era{5}, .revision = 8}, count);
        REQUIRE(position);
        CHECK(position.value() == store_position{.era = store_era{5}, .revision = 9});
        CHECK(events == 1);
    });
}

// Guards against entries of two eras that are taken for one state of the store.
TEST_CASE("a read fails when the store comes back from a copy between two pages") {
    kv_store_fixture host;
    host.replies.push_back(
        {.body = R"({"items":[)" + item("op/a", "1", 5) + R"(],"truncated":true,"at":7})", .era = "1"});
    host.replies.push_back(
        {.body = R"({"items":[)" + item("op/b", "2", 6) + R"(],"truncated":false,"at":6})", .era = "2"});
    host.run([&](kv_store& store) { CHECK(store.get_prefix("op/").error().code == error_code::unavailable); });
}

// Guards against late responses from before the store came back, which would undo what was read since, and against
// corrupt eras.
TEST_CASE("responses of an earlier or unreadable era are errors and change nothing") {
    kv_store_fixture host;
    host.replies.push_back({.body = item("k", "v", 3), .era = "6"});
    for (const std::string era : {"5", "-1", "six", "6a", "99999999999999999999"})
        host.replies.push_back({.body = item("k", "v", 9), .era = era});
    host.replies.push_back({.body = R"({"rev":12})", .era = "5"});
    host.replies.push_back({.body = R"({"rev":13})", .era = "6"});
    host.run([&](kv_store& store) {
        CHECK(store.get("k"));
        CHECK(store.get("k").error().code == error_code::unavailable);
        for (int reply = 0; reply < 4; ++reply)
            CHECK(store.get("k").error().code == error_code::protocol_violation);
        // The write was acknowledged before the store went back, so it may be lost.
        CHECK(store.commit(put_transaction()).error().code == error_code::outcome_unknown);
        const auto committed = store.commit(put_transaction());
        REQUIRE(committed);
        CHECK(committed.value().position == store_position{.era = store_era{6}, .revision = 13});
    });
}
