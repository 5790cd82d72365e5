#include "gateway/upstream_signals.h"

#include "gateway/gateway_fixture.h"

using namespace ragworthinge;
using namespace std::chrono_literals;

namespace {

upstream_signals read_signals(unsigned status, const std::string& name, const std::string& value) {
    http_response_head head{.status = status, .fields = {}, .content_length = {}};
    head.fields.add(name, value);
    return read_upstream_signals(head, test_field_names);
}

scripted_upstream::script respond_with(unsigned status, const std::string& fields) {
    return [=](const auto& request) {
        return scripted_upstream::reply{make_response(request, status, "x", fields)};
    };
}

} // namespace

TEST_CASE("leaving is read from responses with any status") {
    for (const unsigned status : {200U, 404U, 421U, 500U, 503U}) {
        CHECK(read_signals(status, "X-Leaving", "1").is_leaving);
        CHECK_FALSE(read_signals(status, "X-Leaving", "0").is_leaving);
        CHECK_FALSE(read_signals(status, "X-Other", "1").is_leaving);
    }
}

// Guards against an upstream that is excluded for good, or for a negative time, because of a malformed value.
TEST_CASE("a quiet time is a finite number of seconds in a 503") {
    CHECK(read_signals(503, "Retry-After", "2").quiet_time == duration(2s));
    CHECK(read_signals(503, "Retry-After", "0.25").quiet_time == duration(250ms));
    CHECK(read_signals(503, "Retry-After", "86400").quiet_time == duration(24h));
    CHECK_FALSE(read_signals(200, "Retry-After", "2").quiet_time);
    CHECK_FALSE(read_signals(429, "Retry-After", "2").quiet_time);
    for (const std::string bad : {"", "-1", "-0.5", "nan", "inf", "infinity", "1e400", "1e9999999", "0x10", "2 s", " 2",
                                  "99999999999999999999", "Sat, 05 Dec 2026 12:00:00 GMT"}) {
        INFO(bad);
        const upstream_signals signals = read_signals(503, "Retry-After", bad);
        CHECK_FALSE(signals.quiet_time);
        CHECK_FALSE(signals.problem.empty());
    }
}

// Guards against requests that reach an upstream after it has said that it leaves, and against callers that see it.
TEST_CASE("an upstream that says that it leaves gets no further request") {
    for (const bool rejects : {false, true}) {
        gateway_fixture host;
        host.add_upstream("one", rejects ? respond_with(503, "X-Not-Run: 1\r\nX-Leaving: 1\r\n")
                                         : respond_with(200, "X-Receipt: r\r\nX-Leaving: 1\r\n"));
        host.run([&] {
            const received_response first = host.send(host.make_request());
            CHECK(first.status == (rejects ? 503U : 200U));
            CHECK_FALSE(first.fields.find("X-Leaving"));
            const received_response second = host.send(host.make_request());
            CHECK(second.status == 503);
            CHECK(second.body == "no upstream is usable\n");
            CHECK(host.upstreams[0]->requests.size() == 1);
            host.add_upstream("two", respond_with(200, "X-Receipt: r\r\n"));
            CHECK(host.send(host.make_request()).status == 200);
            CHECK(host.upstreams[0]->requests.size() == 1);
        });
    }
}

// Guards against a signal that is missed because the rest of its response is lost.
TEST_CASE("an upstream that says that it leaves and breaks off gets no further request") {
    gateway_fixture host;
    host.add_upstream("one", [](const auto& request) {
        const std::string whole = make_response(request, 200, "long body", "X-Receipt: r\r\nX-Leaving: 1\r\n");
        return scripted_upstream::reply{whole.substr(0, whole.size() - 3), false};
    });
    host.run([&] {
        CHECK(host.send(host.make_request()).status == 502);
        CHECK(host.send(host.make_request()).status == 503);
        CHECK(host.upstreams[0]->requests.size() == 1);
    });
}

// Guards against requests to an upstream that wants none, first attempts and retries, and against a stay away for good.
TEST_CASE("an upstream that asks for quiet gets no request until the time has passed") {
    gateway_fixture host;
    int count = 0;
    host.add_upstream("one", [&](const auto& request) {
        return scripted_upstream::reply{count++ == 0
                                            ? make_response(request, 503, "", "X-Not-Run: 1\r\nRetry-After: 0.4\r\n")
                                            : make_response(request, 200, "x")};
    });
    host.run([&] {
        const time_point started = boot_time_now();
        CHECK(host.send(host.make_request()).status == 503);
        for (int number = 0; number < 5; ++number) {
            const received_response response = host.send(host.make_request());
            CHECK(response.status == 503);
            const duration left = started + 400ms - boot_time_now();
            const auto retry_after = response.fields.find("Retry-After");
            REQUIRE(retry_after);
            CHECK(std::chrono::duration<double>(std::stod(std::string(*retry_after))) >= left);
        }
        CHECK(host.upstreams[0]->requests.size() == 1);
        host.runtime.sleep_for(started + 450ms - boot_time_now());
        CHECK(host.send(host.make_request()).status == 200);
        CHECK(host.client.quiet_responses() == 1);
    });
}

// Guards against a request that is sent on purpose although the upstream asked for quiet while its connection was being
// opened.
TEST_CASE("nothing is sent on a connection that was opened before the upstream asked for quiet") {
    gateway_fixture host;
    host.add_upstream("one", respond_with(200, "X-Receipt: r\r\n"));
    host.run([&] {
        const auto upstream = host.fleet.find_upstream("one");
        upstream->mark_quiet(boot_time_now() + 1s);
        attempt_canceller canceller;
        outgoing_request request;
        request.head = host.make_request();
        request.id = "id-1";
        const upstream_attempt attempt = host.client.perform(upstream, request, canceller, monotonic_clock::now() + 1s);
        CHECK(attempt.type == upstream_attempt::kind::unreachable);
        CHECK(host.upstreams[0]->requests.empty());
    });
}
