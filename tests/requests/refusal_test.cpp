#include "requests/refusal.h"

#include <catch2/catch.hpp>

using namespace ragworthinge;

// Guards against telling a caller that a retry is safe although its request may have run, and the reverse.
TEST_CASE("every refusal kind has the documented status and outcome") {
    using enum refusal_kind;
    const auto line = [](refusal_kind kind) {
        const refusal reason{kind, {}, {}};
        return std::to_string(reason.status()) + " " + std::string(to_string(reason.outcome()));
    };
    for (const refusal_kind kind : {malformed_request, ambiguous_path})
        CHECK(line(kind) == "400 not-run");
    for (const refusal_kind kind : {key_missing, key_wrong})
        CHECK(line(kind) == "401 not-run");
    for (const refusal_kind kind :
         {keys_stale, queue_full, no_capacity, deadline_before_run, store_unavailable, host_leaving, quarantined})
        CHECK(line(kind) == "503 not-run");
    CHECK(line(route_forbidden) == "403 not-run");
    CHECK(line(route_unknown) == "404 not-run");
    CHECK(line(body_too_large) == "413 not-run");
    CHECK(line(over_rate) == "429 not-run");
    CHECK(line(claim_running) == "409 running");
    CHECK(line(claim_key_reused) == "422 key-reused");
    CHECK(line(claim_outcome_unknown) == "502 unknown");
    CHECK(line(upstream_failed) == "502 unknown");
    CHECK(line(upstream_timeout) == "504 unknown");
    CHECK(line(answer_not_kept) == "410 completed");
}

// Guards against a response whose body is not valid JSON or whose header fields differ from the refusal table.
TEST_CASE("the response has the outcome, Retry-After and an escaped body") {
    const refusal reason{refusal_kind::over_rate, "rate of \"north\"\n\xff", std::chrono::seconds(3)};
    const refusal_response response = make_refusal_response(reason, "id-1");
    CHECK(response.head.status == 429);
    CHECK(response.head.fields.find("x-ragworthinge-outcome") == "not-run");
    CHECK(response.head.fields.find("Retry-After") == "3");
    CHECK(response.head.content_length == response.body.size());
    CHECK(response.body == "{\"error\":\"over_rate\",\"outcome\":\"not-run\","
                           "\"message\":\"rate of \\\"north\\\"\\u000a\\u00ff\",\"request_id\":\"id-1\"}\n");
    CHECK_FALSE(make_refusal_response({refusal_kind::route_forbidden, {}, {}}, "").head.fields.find("Retry-After"));
    CHECK(make_refusal_response({refusal_kind::key_wrong, {}, {}}, "").head.fields.find("WWW-Authenticate") ==
          "Bearer");
}
