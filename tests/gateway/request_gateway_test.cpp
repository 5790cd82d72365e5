#include "gateway/gateway_fixture.h"

#include "net/await_io.h"

using namespace ragworthinge;
using namespace std::chrono_literals;

namespace {

scripted_upstream::script respond_always(unsigned status, const std::string& body) {
    return [=](const auto& request) {
        return scripted_upstream::reply{make_response(request, status, body)};
    };
}

/// Rejects requests without executing them, like an upstream without free slots.
scripted_upstream::script shed_always() {
    return [](const auto& request) {
        return scripted_upstream::reply{make_response(request, 503, "", "X-Not-Run: 1\r\n")};
    };
}

std::size_t total_requests(const gateway_fixture& host) {
    std::size_t total = 0;
    for (const auto& upstream : host.upstreams)
        total += upstream->requests.size();
    return total;
}

} // namespace

// Guards against API keys that reach upstreams, account fields forged by callers, and altered responses.
TEST_CASE("a request is forwarded with its account and the response is returned completely") {
    gateway_fixture host;
    host.add_upstream("one", respond_always(200, "the whole body"));
    host.run([&] {
        http_request_head head = host.make_request();
        head.fields.add("X-Account", "somebody-else");
        head.fields.add("X-Expect", "forged");
        head.fields.add("X-Other", "kept");
        const received_response response = host.send(head);
        CHECK(response.status == 200);
        CHECK(response.body == "the whole body");
        CHECK(response.fields.find("X-Receipt") == std::string_view("r1"));
        REQUIRE(host.upstreams[0]->requests.size() == 1);
        const auto& seen = host.upstreams[0]->requests[0];
        CHECK(seen.count("X-Key") == 0);
        CHECK(seen["X-Account"] == "florist");
        CHECK(seen.count("X-Account") == 1);
        CHECK(seen["X-Expect"] == "one");
        CHECK(seen["X-Other"] == "kept");
        CHECK(seen.target() == "/lots/7");
        const int left = std::stoi(std::string(seen["X-Left-Ms"]));
        CHECK(left <= 800);
        CHECK(left > 600);
    });
}

// Guards against a request that is executed twice because its upstream closed the connection after reading it.
TEST_CASE("a request that is not idempotent is sent only once when its response is lost") {
    gateway_fixture host;
    host.configuration.routes.front().is_idempotent = false;
    const auto drop_connection = [](const auto&) {
        return scripted_upstream::reply{"", false};
    };
    host.add_upstream("one", drop_connection);
    host.add_upstream("two", drop_connection);
    host.run([&] {
        CHECK(host.send(host.make_request("POST")).status == 502);
        CHECK(total_requests(host) == 1);
    });
}

TEST_CASE("an idempotent request is sent to another upstream when its response is lost") {
    gateway_fixture host;
    int lost = 0;
    const auto drop_first = [&](const auto& request) {
        return lost++ == 0 ? scripted_upstream::reply{"", false}
                           : scripted_upstream::reply{make_response(request, 200, "x")};
    };
    host.add_upstream("one", drop_first);
    host.add_upstream("two", drop_first);
    host.run([&] {
        CHECK(host.send(host.make_request()).status == 200);
        CHECK(host.upstreams[0]->requests.size() == 1);
        CHECK(host.upstreams[1]->requests.size() == 1);
    });
}

// Guards against 503 for a request that may have been executed, and against a missing retry of one that was not.
TEST_CASE("a rejected request is sent to another upstream, or refused as not executed if there is none") {
    gateway_fixture host;
    host.configuration.routes.front().is_idempotent = false;
    host.add_upstream("one", shed_always());
    host.run([&] {
        const received_response response = host.send(host.make_request("POST"));
        CHECK(response.status == 503);
        CHECK(response.fields.find("Retry-After"));
        CHECK_FALSE(response.fields.find("X-Not-Run"));
        host.add_upstream("two", respond_always(200, "done"));
        CHECK(host.send(host.make_request("POST")).status == 200);
        CHECK(host.upstreams[1]->requests.size() == 1);
    });
}

// Guards against 503, which promises that nothing was executed, after an earlier attempt may have been.
TEST_CASE("a request that may have been executed is never refused as not executed") {
    gateway_fixture host;
    int count = 0;
    const auto drop_then_shed = [&](const auto& request) {
        return count++ == 0 ? scripted_upstream::reply{"", false}
                            : scripted_upstream::reply{make_response(request, 503, "", "X-Not-Run: 1\r\n")};
    };
    host.add_upstream("one", drop_then_shed);
    host.add_upstream("two", drop_then_shed);
    host.run([&] { CHECK(host.send(host.make_request()).status == 502); });
}

// Guards against a response to another request: a duplicate of an earlier response arrives first.
TEST_CASE("a response to another request is skipped") {
    gateway_fixture host;
    host.add_upstream("one", [](const auto& request) {
        const std::string mismatched =
            "HTTP/1.1 200 OK\r\nX-Id: id-0\r\nX-Receipt: r0\r\nContent-Length: 5\r\n\r\nother";
        return scripted_upstream::reply{mismatched + make_response(request, 200, "mine")};
    });
    host.run([&] {
        const received_response response = host.send(host.make_request());
        CHECK(response.status == 200);
        CHECK(response.body == "mine");
    });
}

// Guards against bytes after a response that are taken for the next response.
TEST_CASE("a connection with bytes after the response is not reused") {
    gateway_fixture host;
    host.add_upstream("one", [](const auto& request) {
        return scripted_upstream::reply{
            make_response(request, 200, "mine") +
            "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Receipt: r9\r\nContent-Length: 3\r\n\r\nbad"};
    });
    host.run([&] {
        for (int count = 0; count < 3; ++count) {
            const received_response response = host.send(host.make_request());
            CHECK(response.status == 200);
            CHECK(response.body == "mine");
        }
    });
}

// Guards against successful responses without a receipt, without the request id, truncated, malformed or encoded.
TEST_CASE("an invalid response is never passed on as a success") {
    const std::vector<std::function<std::string(const standins::standin_server::request&)>> bad = {
        [](const auto& request) { return make_response(request, 200, "x", ""); },
        [](const auto& request) {
            return make_response(request, 200, "x", "X-Receipt: r\r\nContent-Encoding: gzip\r\n");
        },
        [](const auto& request) { return make_response(request, 200, "short").substr(0, 60); },
        [](const auto&) { return std::string("garbage\r\n\r\n"); },
        [](const auto&) { return std::string("HTTP/1.1 200 OK\r\nX-Receipt: r\r\nContent-Length: 1\r\n\r\nx"); },
    };
    for (const auto& make : bad) {
        gateway_fixture host;
        host.configuration.routes.front().is_idempotent = false;
        host.add_upstream("one", [&](const auto& request) { return scripted_upstream::reply{make(request), false}; });
        host.run([&] { CHECK(host.send(host.make_request("POST")).status == 502); });
    }
}

// Guards against a status that is no valid final one being passed on to the caller as an answer, or being skipped as an
// interim response while the caller waits for another one.
TEST_CASE("a response with an invalid status is a failed attempt") {
    for (const std::string status : {"000", "001", "099", "600", "999", "20", "2000", "0200", "-20", "2x0", ""}) {
        for (const bool is_idempotent : {true, false}) {
            INFO("status " << status << " idempotent " << is_idempotent);
            gateway_fixture host;
            host.configuration.routes.front().is_idempotent = is_idempotent;
            int sent = 0;
            const auto respond_invalid_first = [&](const auto& request) {
                const std::string valid = make_response(request, 200, "x");
                if (sent++ > 0)
                    return scripted_upstream::reply{valid};
                return scripted_upstream::reply{"HTTP/1.1 " + status + valid.substr(valid.find(" Text"))};
            };
            host.add_upstream("one", respond_invalid_first);
            host.add_upstream("two", respond_invalid_first);
            host.run([&] {
                const time_point started = monotonic_clock::now();
                const received_response response = host.send(host.make_request(is_idempotent ? "GET" : "POST"));
                CHECK(response.status == (is_idempotent ? 200 : 502));
                CHECK(total_requests(host) == (is_idempotent ? 2 : 1));
                // The route's timeout is 0.8 s.
                CHECK(monotonic_clock::now() - started < 600ms);
            });
        }
    }
}

TEST_CASE("interim responses before the response are skipped") {
    gateway_fixture host;
    host.add_upstream("one", [](const auto& request) {
        return scripted_upstream::reply{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 Odd\r\n\r\n" +
                                        make_response(request, 200, "x")};
    });
    host.run([&] { CHECK(host.send(host.make_request()).status == 200); });
}

TEST_CASE("a response that is delimited by the end of its connection is complete") {
    gateway_fixture host;
    host.add_upstream("one", [](const auto&) {
        return scripted_upstream::reply{"HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Receipt: r\r\n\r\nunframed", false};
    });
    host.run([&] {
        const received_response response = host.send(host.make_request());
        CHECK(response.status == 200);
        CHECK(response.body == "unframed");
        CHECK(response.is_complete);
    });
}

TEST_CASE("an error response of an upstream is passed on unchanged") {
    gateway_fixture host;
    host.configuration.routes.front().is_idempotent = false;
    host.add_upstream("one", respond_always(500, "its own failure"));
    host.run([&] {
        const received_response response = host.send(host.make_request("POST"));
        CHECK(response.status == 500);
        CHECK(response.body == "its own failure");
        CHECK(response.fields.find("X-Receipt"));
    });
}

// Guards against further requests to an address that another upstream has taken over.
TEST_CASE("an upstream whose address was taken over gets no more requests") {
    gateway_fixture host;
    host.configuration.routes.front().is_idempotent = false;
    host.add_upstream(
        "one", [](const auto& request) { return scripted_upstream::reply{make_response(request, 421, "", "")}; });
    host.run([&] {
        CHECK(host.send(host.make_request("POST")).status == 503);
        CHECK(host.send(host.make_request("POST")).status == 503);
        CHECK(host.upstreams[0]->requests.size() == 1);
    });
}

// Guards against callers that wait longer than the route's time-out.
TEST_CASE("a request gets 504 at its route's time-out") {
    gateway_fixture host;
    host.configuration.routes.front().timeout = 300ms;
    host.add_upstream("one", [](const auto& request) {
        return scripted_upstream::reply{make_response(request, 200, "late"), true, 2s};
    });
    host.run([&] {
        const time_point started = monotonic_clock::now();
        CHECK(host.send(host.make_request()).status == 504);
        const duration taken = monotonic_clock::now() - started;
        CHECK(taken >= 290ms);
        CHECK(taken < 500ms);
    });
}

// Guards against upstreams that keep working for callers that have disconnected.
TEST_CASE("an idempotent request is cancelled at its upstream when the caller disconnects") {
    gateway_fixture host;
    bool delivered = false;
    host.add_upstream("one", [](const auto& request) {
        return scripted_upstream::reply{make_response(request, 200, "x"), true, 400ms};
    });
    host.run([&] {
        const time_point deadline = monotonic_clock::now() + 2s;
        auto caller = http_connection::connect(host.runtime, {"127.0.0.1", host.server->port()}, deadline).value();
        caller->begin_request(host.make_request(), deadline);
        REQUIRE(caller->finish_request());
        host.runtime.sleep_for(50ms);
        CHECK(host.gateway.in_progress() == 1);
        caller->close();
        host.runtime.sleep_for(50ms);
        delivered = host.gateway.in_progress() != 0;
    });
    CHECK_FALSE(delivered);
}

// Guards against head-of-line blocking of pipelined requests: each then took as long as all earlier ones together.
TEST_CASE("pipelined requests run concurrently at their upstreams") {
    gateway_fixture host;
    for (const std::string id : {"one", "two"})
        host.add_upstream(id, [](const auto& request) {
            return scripted_upstream::reply{make_response(request, 200, std::string(request["X-Id"])), true, 200ms};
        });
    host.run([&] {
        standins::standin_server::socket caller(host.runtime.io());
        const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address("127.0.0.1"), host.server->port());
        await_io([&](auto handler) { caller.async_connect(endpoint, std::move(handler)); });
        std::string text;
        for (const std::string id : {"id-1", "id-2", "id-3"})
            text +=
                "GET /lots/7 HTTP/1.1\r\nHost: lots.example\r\nX-Key: secret-key\r\nX-Left-Ms: 4000\r\nX-Id: " + id +
                "\r\nX-Object: " + id + "\r\n\r\n";
        // An idempotent request runs concurrently even if it announces a body, here an empty one.
        text += "POST /lots/7 HTTP/1.1\r\nHost: lots.example\r\nX-Key: secret-key\r\nX-Left-Ms: 4000\r\n"
                "X-Id: id-4\r\nContent-Length: 0\r\n\r\n";
        const time_point started = monotonic_clock::now();
        REQUIRE(standins::write_all(caller, text));
        std::string received;
        while (received.find("id-4\r\n") == std::string::npos) {
            std::array<char, 4096> chunk{};
            const io_outcome read =
                await_io([&](auto handler) { caller.async_read_some(boost::asio::buffer(chunk), std::move(handler)); });
            REQUIRE_FALSE(read.failed());
            received.append(chunk.data(), read.bytes);
        }
        CHECK(monotonic_clock::now() - started < 550ms);
        CHECK(received.find("X-Id: id-1") < received.find("X-Id: id-2"));
        CHECK(received.find("X-Id: id-2") < received.find("X-Id: id-3"));
        CHECK(received.find("X-Id: id-3") < received.find("X-Id: id-4"));
    });
}

// Guards against a charge or booking that is sent although its caller disconnected while the connection was opened.
TEST_CASE("nothing is sent for a caller that has disconnected") {
    gateway_fixture host;
    host.add_upstream("one", respond_always(200, "x"));
    host.run([&] {
        outgoing_request request{.head = host.make_request("POST"), .body = {}, .id = "id-1", .is_idempotent = false};
        attempt_canceller canceller;
        canceller.stop_sending();
        const upstream_attempt attempt =
            host.client.perform(host.fleet.find_upstream("one"), request, canceller, monotonic_clock::now() + 1s);
        CHECK(attempt.type == upstream_attempt::kind::unreachable);
        host.runtime.sleep_for(50ms);
        CHECK(total_requests(host) == 0);
    });
}

// Guards against requests that a host reads late, together with the end of their connection, and sends on although
// nobody waits for the response.
TEST_CASE("a request that is read together with the end of its connection is not sent") {
    for (const bool is_idempotent : {true, false}) {
        for (const bool caller_leaves : {true, false}) {
            INFO("idempotent " << is_idempotent << " caller leaves " << caller_leaves);
            gateway_fixture host;
            host.configuration.routes.front().is_idempotent = is_idempotent;
            host.add_upstream("one", respond_always(200, "x"));
            host.run([&] {
                // The second request goes to an open connection to the upstream, so nothing delays it.
                REQUIRE(host.send(host.make_request()).status == 200);
                standins::standin_server::socket caller(host.runtime.io());
                const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address("127.0.0.1"),
                                                              host.server->port());
                await_io([&](auto handler) { caller.async_connect(endpoint, std::move(handler)); });
                const std::string text =
                    "GET /lots/7 HTTP/1.1\r\nHost: lots.example\r\nX-Key: secret-key\r\nX-Left-Ms: "
                    "4000\r\nX-Id: id-2\r\n\r\n";
                // Nothing of the gateway runs until both have arrived.
                REQUIRE(caller.write_some(boost::asio::buffer(text)) == text.size());
                if (caller_leaves)
                    caller.close();
                host.runtime.sleep_for(100ms);
                CHECK(total_requests(host) == (caller_leaves ? 1 : 2));
            });
        }
    }
}

TEST_CASE("a refused connection does not count as an attempt") {
    gateway_fixture host;
    host.configuration.routes.front().is_idempotent = false;
    host.configuration.routes.front().max_attempts = 1;
    host.add_upstream("one", respond_always(200, "x"));
    host.add_upstream("two", respond_always(200, "x"));
    host.run([&] {
        host.upstreams[0]->refuse_connections();
        for (int count = 0; count < 4; ++count) {
            http_request_head head = host.make_request("POST");
            head.fields.set("X-Object", std::to_string(count));
            CHECK(host.send(head).status == 200);
        }
        CHECK(host.upstreams[1]->requests.size() == 4);
    });
}

// Guards against refusals with the wrong status.
TEST_CASE("requests that cannot be forwarded are refused with the matching status") {
    gateway_fixture host;
    steering_route open = make_route("lots");
    open.name = "open";
    open.path_prefix = "/open/";
    open.needs_key = false;
    host.configuration.routes.push_back(open);
    host.add_upstream("one", respond_always(200, "x"));
    host.run([&] {
        http_request_head head = host.make_request();
        head.target = "/unknown/";
        CHECK(host.send(head).status == 404);
        head = host.make_request();
        head.fields.set("X-Key", "wrong");
        CHECK(host.send(head).status == 401);
        head = host.make_request();
        head.fields.remove("X-Key");
        CHECK(host.send(head).status == 401);
        head = host.make_request();
        head.fields.remove("X-Id");
        CHECK(host.send(head).status == 400);
        head = host.make_request();
        head.fields.set("X-Left-Ms", "soon");
        CHECK(host.send(head).status == 400);
        CHECK(total_requests(host) == 0);

        head = host.make_request();
        head.target = "/open/1";
        head.fields.remove("X-Key");
        CHECK(host.send(head).status == 200);
        CHECK(host.upstreams[0]->requests[0].count("X-Account") == 0);
    });
}

// Guards against refusals right after a start: 334 callers were refused within a second of a restart of all hosts.
TEST_CASE("a request that arrives before the configuration is held until it is known") {
    gateway_fixture host;
    host.add_upstream("one", respond_always(200, "x"));
    host.run([&] {
        fleet_state late = make_fleet();
        request_gateway early(host.make_components(late));
        auto server = http_server::listen(host.runtime, {.address = "127.0.0.1"}, [&](http_exchange& one) {
                          early.handle(one);
                      }).value();
        std::swap(host.server, server);
        host.runtime.spawn([&] {
            host.runtime.sleep_for(150ms);
            late.apply(configuration_submitted{host.configuration}, boot_time_now());
        });
        const time_point started = monotonic_clock::now();
        CHECK(host.send(host.make_request()).status == 200);
        CHECK(monotonic_clock::now() - started >= 150ms);
        CHECK(monotonic_clock::now() - started < 400ms);
        std::swap(host.server, server);
        // The handler still runs after its caller has the response and must end before this gateway is destroyed.
        host.runtime.sleep_for(50ms);
    });
}

TEST_CASE("a host without a configuration refuses every request as not executed") {
    gateway_fixture host;
    host.run([&] {
        fleet_state empty = make_fleet();
        request_gateway early(host.make_components(empty));
        auto server = http_server::listen(host.runtime, {.address = "127.0.0.1"}, [&](http_exchange& one) {
                          early.handle(one);
                      }).value();
        std::swap(host.server, server);
        CHECK(host.send(host.make_request()).status == 503);
        // The handler still runs after its caller has the response and must end before this gateway is destroyed.
        host.runtime.sleep_for(50ms);
    });
}

TEST_CASE("an account over its rate is refused") {
    gateway_fixture host;
    host.configuration.accounts.front().requests_per_second = 1;
    host.configuration.accounts.front().burst = 4;
    host.add_upstream("one", respond_always(200, "x"));
    host.run([&] {
        host.limiter.update_shares(*host.fleet.table(), host.membership, boot_time_now());
        std::size_t refused = 0;
        for (int count = 0; count < 8; ++count) {
            const received_response response = host.send(host.make_request());
            refused += response.status == 429 ? 1 : 0;
            CHECK((response.status == 200 || response.fields.find("Retry-After")));
        }
        CHECK(refused >= 4);
        CHECK(host.upstreams[0]->requests.size() == 8 - refused);
    });
}

// Guards against a request that is retried and crashes one upstream after another.
TEST_CASE("a request is refused after it has crashed three upstreams") {
    gateway_fixture host;
    host.configuration.routes.front().max_attempts = 1;
    for (const std::string id : {"a", "b", "c", "d", "e"}) {
        const std::size_t index = host.upstreams.size();
        host.add_upstream(id, [&host, index](const auto&) {
            host.upstreams[index]->refuse_connections();
            return scripted_upstream::reply{"", false};
        });
    }
    host.run([&] {
        for (int count = 0; count < 3; ++count)
            CHECK(host.send(host.make_request()).status == 502);
        CHECK(host.send(host.make_request()).status == 503);
        CHECK(total_requests(host) == 3);
    });
}
