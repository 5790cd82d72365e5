#include "host/peer_forwarder.h"

#include "net/fiber_runtime.h"
#include "net/http_server.h"

#include <catch2/catch.hpp>

#include <string>
#include <utility>

using namespace ragworthinge;
using namespace std::chrono_literals;

namespace {

const std::string secret = "0123456789abcdef0123456789abcdef";

/// A caller's exchange that keeps the answer.
class recorded_exchange final : public http_exchange {
public:
    const http_request_head& request() const override { return m_request; }
    const std::string& remote_address() const override { return m_address; }
    result<std::size_t> read_body(std::span<char>) override { return std::size_t{0}; }
    void begin_response(http_response_head head) override { answer = std::move(head); }
    result<void> write_body(std::string_view bytes) override {
        m_started = true;
        body += bytes;
        return boost::outcome_v2::success();
    }
    result<void> finish() override {
        m_started = true;
        finished = true;
        return boost::outcome_v2::success();
    }
    void abort() override { m_open = false; }
    bool response_started() const override { return m_started; }
    bool is_open() const override { return m_open; }
    void watch_disconnect(std::function<void()> /*on_disconnect*/) override {}

    http_response_head answer;
    std::string body;
    bool finished = false;

private:
    http_request_head m_request;
    std::string m_address = "127.0.0.1";
    bool m_started = false;
    bool m_open = true;
};

request_context make_request(bool idempotent, duration time_limit) {
    request_context request;
    request.id = "request-1";
    request.account = "north";
    request.service = "permits";
    request.deadline = monotonic_clock::now() + time_limit;
    request.idempotent = idempotent;
    request.head.method = idempotent ? "GET" : "POST";
    request.head.target = "/permits";
    request.head.fields.add("Host", "h");
    request.fingerprint = "print";
    request.body_complete = true;
    return request;
}

/// Forwards the request to a dispatcher with the given behaviour and keeps what the caller got.
void forward(const request_context& request, http_exchange& caller, fiber_runtime& runtime,
             const http_server::handler& dispatcher) {
    auto server = http_server::listen(runtime, {.address = "127.0.0.1", .port = 0}, dispatcher);
    REQUIRE(server.has_value());
    http_connection_pool peers(runtime, {});
    retry_budget retries;
    peer_forwarder forwarder(
        {.runtime = runtime,
         .peers = peers,
         .retries = retries,
         .codec = peer_request(secret),
         .place =
             [&](const request_context&) {
                 return std::optional(dispatch_place{.here = false, .endpoint = {"127.0.0.1", server.value()->port()}});
             },
         .run_here = [](const request_context&, http_exchange&) { return false; },
         .on_place_end = [](const request_context&, const dispatch_place&, bool) {},
         .on_end =
             [](const request_context&, const std::optional<refusal>&) {
             }});
    runtime.spawn([&] {
        forwarder.serve(request, caller);
        runtime.stop();
    });
    runtime.run();
}

void refuse_as_not_run(http_exchange& exchange) {
    refusal_response answer = make_refusal_response({.kind = refusal_kind::no_capacity, .detail = "none"}, "request-1");
    static_cast<void>(respond(exchange, std::move(answer.head), answer.body));
}

std::string outcome_of(const recorded_exchange& caller) {
    return std::string(caller.answer.fields.find("X-Ragworthinge-Outcome").value_or(""));
}

} // namespace

// Guards against 502 for a request whose deadline passed: callers treat 504 as slow and 502 as broken.
TEST_CASE("a dispatcher that does not answer in time is reported as a timeout with unknown outcome") {
    fiber_runtime runtime;
    recorded_exchange caller;
    forward(make_request(false, 100ms), caller, runtime, [&](http_exchange& exchange) {
        runtime.sleep_for(500ms);
        exchange.abort();
    });
    CHECK(caller.answer.status == 504);
    CHECK(outcome_of(caller) == "unknown");
}

// Guards against losing what the dispatcher knows of a request whose deadline passed in its queue.
TEST_CASE("the dispatcher's own answer to a missed deadline is relayed") {
    fiber_runtime runtime;
    recorded_exchange caller;
    forward(make_request(false, 100ms), caller, runtime, [&](http_exchange& exchange) {
        runtime.sleep_for(120ms);
        refuse_as_not_run(exchange);
    });
    CHECK(caller.answer.status == 503);
    CHECK(outcome_of(caller) == "not-run");
}

// Guards against a body that says "not-run" although the first attempt may have run the request.
TEST_CASE("a refusal after an attempt that broke off is reported as unknown in head and body") {
    fiber_runtime runtime;
    recorded_exchange caller;
    int attempts = 0;
    forward(make_request(true, 2s), caller, runtime, [&](http_exchange& exchange) {
        if (++attempts == 1)
            exchange.abort();
        else
            refuse_as_not_run(exchange);
    });
    CHECK(attempts == 2);
    CHECK(caller.answer.status == 502);
    CHECK(outcome_of(caller) == "unknown");
    CHECK(caller.body.find("not-run") == std::string::npos);
}
