#include "requests/request_policy.h"

#include <catch2/catch.hpp>

using namespace ragworthinge;
using namespace std::chrono_literals;

namespace {

admitted<request_plan> plan(std::string method, std::vector<http_field> fields, const route& matched = {},
                            std::optional<account_id> account = "north") {
    http_request_head head;
    head.method = std::move(method);
    head.fields.entries() = std::move(fields);
    return plan_request(head, matched, account, 2000ms);
}

} // namespace

// Guards against sending a request with side effects, such as a booking or a charge, twice because its method or route
// was treated as idempotent.
TEST_CASE("the route's idempotent methods replace the default of HTTP") {
    route restricted;
    restricted.idempotent_methods = {"GET", "POST"};
    for (const char* method : {"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
        CHECK(plan(method, {}).value().idempotent);
    for (const char* method : {"POST", "PATCH", "get", "LOCK"})
        CHECK_FALSE(plan(method, {}).value().idempotent);
    CHECK(plan("POST", {}, restricted).value().idempotent);
    CHECK_FALSE(plan("PUT", {}, restricted).value().idempotent);
}

// Guards against dispatching without the claim that the caller requested, and against claims shared by unrelated
// callers without a client account.
TEST_CASE("a claim is required exactly for non-idempotent requests with an Idempotency-Key") {
    const std::vector<http_field> keyed{{"idempotency-key", "abc"}};
    CHECK(plan("POST", keyed).value().claim_key == "abc");
    CHECK_FALSE(plan("POST", {}).value().claim_key);
    CHECK_FALSE(plan("PUT", keyed).value().claim_key);
    CHECK(plan("POST", keyed, {}, std::nullopt).error().kind == refusal_kind::key_missing);
    for (const std::string& value : {std::string(), std::string("a b"), std::string(256, 'a')})
        CHECK(plan("POST", {{"Idempotency-Key", value}}).error().status() == 400);
    CHECK(plan("POST", {{"Idempotency-Key", "a"}, {"IDEMPOTENCY-KEY", "b"}}).error().status() == 400);
}

// Guards against a caller that extends its deadline beyond the service's and against malformed deadlines.
TEST_CASE("the deadline is the shorter of the caller's and the service's") {
    const auto limit = [](std::string value) {
        return plan("GET", {{"X-Request-Timeout-Ms", std::move(value)}});
    };
    CHECK(plan("GET", {}).value().time_limit == 2000ms);
    CHECK(limit("150").value().time_limit == 150ms);
    CHECK(limit("99999").value().time_limit == 2000ms);
    CHECK(limit("99999999999999999999999").value().time_limit == 2000ms);
    for (const char* value : {"", "0", "-5", "1.5", "10 ", "x", "-99999999999999999999999"})
        CHECK(limit(value).error().status() == 400);
}

// Guards against tunnels, in which neither keys nor responses could be checked.
TEST_CASE("CONNECT, TRACE and Upgrade are refused") {
    CHECK(plan("CONNECT", {}).error().status() == 400);
    CHECK(plan("TRACE", {}).error().status() == 400);
    CHECK(plan("GET", {{"Upgrade", "websocket"}}).error().status() == 400);
    CHECK(plan("GET", {{"X-Request-Id", "a\x01"}}).error().status() == 400);
    CHECK(plan("GET", {{"X-Request-Id", "abc"}}).value().requested_id == "abc");
}
