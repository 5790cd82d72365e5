#include "store/store_session.h"

#include "store/fake_store.h"

#include <catch2/catch.hpp>

using namespace ragworthinge;
using namespace std::chrono_literals;

namespace {

/// Lease session on a fake store; both use the same clock.
struct session_fixture {
    void advance_clock(duration time) { store.now += time; }
    time_point now() const { return store.now; }

    fake_store store;
    store_session session{store, 2s};
};

} // namespace

// Guards against relying on a lease that ended during a long pause of the process.
TEST_CASE_METHOD(session_fixture, "after a pause longer than the ttl the lease must be confirmed with the store") {
    REQUIRE(session.open(now()));
    advance_clock(1999ms);
    CHECK(session.is_valid(now()));
    CHECK(session.confirm(now()));
    CHECK(store.calls() == 1);
    advance_clock(1ms);
    CHECK_FALSE(session.is_valid(now()));
    const auto confirmed = session.confirm(now());
    REQUIRE_FALSE(confirmed);
    CHECK(confirmed.error().code == error_code::not_found);
    CHECK_FALSE(session.lease().has_value());
    REQUIRE(session.open(now()));
    CHECK(session.is_valid(now()));
}

// Guards against counting the validity from the arrival of the response: the store counts from the arrival of the call.
TEST_CASE_METHOD(session_fixture, "the validity of a slow renewal is counted from when it was sent") {
    REQUIRE(session.open(now()));
    advance_clock(1s);
    store.after_call = [&](std::string_view) {
        advance_clock(1500ms);
    };
    REQUIRE(session.renew(now()));
    CHECK(session.is_valid(now()));
    advance_clock(500ms);
    CHECK_FALSE(session.is_valid(now()));
}

// Guards against extending the validity without a response, and against discarding a lease because of an outage.
TEST_CASE_METHOD(session_fixture, "failed renewals neither extend the validity nor end the lease") {
    REQUIRE(session.open(now()));
    store.faults.down = true;
    advance_clock(1s);
    CHECK_FALSE(session.renew(now()));
    CHECK(session.is_valid(now()));
    advance_clock(1s);
    CHECK_FALSE(session.is_valid(now()));
    CHECK(session.confirm(now()).error().code == error_code::unavailable);
    CHECK(session.lease().has_value());
}

// Guards against a late renewal of a previous lease extending the validity of the new one.
TEST_CASE_METHOD(session_fixture, "a renewal that ends after a new lease was opened does not extend it") {
    REQUIRE(session.open(now()));
    store.after_call = [&](std::string_view call) {
        if (call == "keep_lease_alive")
            REQUIRE(session.open(now()));
    };
    CHECK(session.renew(now()).error().code == error_code::conflict);
}

// Guards against relying on the lease alone: a store may end it early, which only a compared revision reveals.
TEST_CASE_METHOD(session_fixture, "a transaction that compares the key of a lease fails after the lease ended early") {
    REQUIRE(session.open(now()));
    const store_operation put{store_operation::kind::put, "region/r/allocator", "host a", *session.lease()};
    const auto elected = store.commit({.compares = {{put.key, 0}}, .success = {put}, .failure = {}});
    REQUIRE(elected.value().succeeded);
    store.expire_leases_early();
    REQUIRE(session.is_valid(now()));
    const store_operation act{store_operation::kind::put, "region/r/members", "fence", 0};
    const auto acted =
        store.commit({.compares = {{put.key, elected.value().position.revision}}, .success = {act}, .failure = {}});
    CHECK_FALSE(acted.value().succeeded);
    CHECK(session.renew(now()).error().code == error_code::not_found);
}
