#include "net/http_server.h"

#include "net/await_io.h"
#include "net/fiber_runtime.h"
#include "net/http_connection.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <string>

using namespace ragworthinge;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

/// Responds with method, target and body of the request.
void echo(http_exchange& exchange) {
    std::string body;
    std::array<char, 100> buffer{};
    for (;;) {
        const auto read = exchange.read_body(buffer);
        if (!read)
            return;
        if (read.value() == 0)
            break;
        body.append(buffer.data(), read.value());
    }
    const std::string text = exchange.request().method + " " + exchange.request().target + " [" + body + "]\n";
    static_cast<void>(respond(exchange, {.status = 200, .fields = {}, .content_length = {}}, text));
}

/// Sends raw bytes and returns everything received until the server closes the connection or one second has passed.
std::string send_raw(fiber_runtime& runtime, std::uint16_t port, const std::string& bytes) {
    tcp::socket socket(runtime.io());
    const tcp::endpoint endpoint(boost::asio::ip::make_address("127.0.0.1"), port);
    await_io([&](auto handler) { socket.async_connect(endpoint, std::move(handler)); });
    await_io([&](auto handler) { boost::asio::async_write(socket, boost::asio::buffer(bytes), std::move(handler)); });
    std::string received;
    bool open = true;
    runtime.spawn([&] {
        runtime.sleep_for(1s);
        if (open)
            socket.close();
    });
    for (;;) {
        std::array<char, 4096> buffer{};
        const io_outcome outcome =
            await_io([&](auto handler) { socket.async_read_some(boost::asio::buffer(buffer), std::move(handler)); });
        if (outcome.failed())
            break;
        received.append(buffer.data(), outcome.bytes);
    }
    open = false;
    return received;
}

/// Runs `client` in a fiber against a server with the given handler.
template <class Client>
void with_server(const http_server::handler& on_request, Client&& client) {
    fiber_runtime runtime;
    auto server = http_server::listen(runtime, {.address = "127.0.0.1", .port = 0}, on_request);
    REQUIRE(server.has_value());
    runtime.spawn([&] {
        client(runtime, *server.value());
        runtime.stop();
    });
    runtime.run();
}

std::size_t count(const std::string& text, const std::string& part) {
    std::size_t found = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++found;
    return found;
}

} // namespace

// Guards against request smuggling: HTTP parsers differ in how they interpret each of these heads.
TEST_CASE("ambiguous request heads are rejected and the connection is closed") {
    const std::string follow_up = "GET /second HTTP/1.1\r\nHost: h\r\n\r\n";
    const std::vector<std::string> heads = {
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +5\r\n\r\nhello",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0x5\r\n\r\nhello",
        "GET / HTTP/1.1\r\nHost: h\r\nX-A: one\r\n two\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: h\r\nX-A: one\nX-B: two\r\n\r\n",
        "GET / HTTP/1.1\nHost: h\n\n",
        "GET / HTTP/1.1\r\nHost: h\rX-A: b\r\n\r\n",
        "CONNECT other:80 HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n",
        "GET / HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.1\r\n Host: h\r\n\r\n",
        "GET /\0 HTTP/1.1\r\nHost: h\r\n\r\n",
    };
    with_server(echo, [&](fiber_runtime& runtime, http_server& server) {
        for (const std::string& head : heads) {
            const std::string answer = send_raw(runtime, server.port(), head + follow_up);
            INFO(head);
            INFO(answer);
            CHECK(answer.rfind("HTTP/1.1 400", 0) == 0);
            CHECK(count(answer, "HTTP/1.1 ") == 1);
            CHECK(answer.find("/second") == std::string::npos);
        }
    });
}

// Guards against request smuggling by a framing error in a chunked body: the rest would be read as the next request.
TEST_CASE("malformed chunks close the connection without a second request") {
    const std::string follow_up = "0\r\n\r\nGET /second HTTP/1.1\r\nHost: h\r\n\r\n";
    with_server(echo, [&](fiber_runtime& runtime, http_server& server) {
        for (const std::string chunk :
             {"5\nhello\r\n", "-5\r\nhello\r\n", "5\r\nhelloX\r\n", "fffffffffffffffff\r\nx\r\n"}) {
            const std::string answer =
                send_raw(runtime, server.port(),
                         "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + follow_up);
            INFO(chunk);
            CHECK(answer.find("/second") == std::string::npos);
            CHECK(answer.find("200 OK") == std::string::npos);
        }
    });
}

// Guards against responses out of request order and against losing the last pipelined requests.
TEST_CASE("pipelined requests are answered in order") {
    with_server(echo, [&](fiber_runtime& runtime, http_server& server) {
        const std::string answer = send_raw(runtime, server.port(),
                                            "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\none"
                                            "POST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                                            "3\r\ntwo\r\n0\r\n\r\n"
                                            "GET /3 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        const auto first = answer.find("POST /1 [one]");
        const auto second = answer.find("POST /2 [two]");
        const auto third = answer.find("GET /3 []");
        CHECK(first < second);
        CHECK(second < third);
        CHECK(third != std::string::npos);
    });
}

// Guards against unbounded memory for request heads.
TEST_CASE("an oversized request head is rejected") {
    with_server(echo, [&](fiber_runtime& runtime, http_server& server) {
        const std::string answer = send_raw(
            runtime, server.port(), "GET / HTTP/1.1\r\nHost: h\r\nX-Long: " + std::string(40'000, 'a') + "\r\n\r\n");
        CHECK(answer.rfind("HTTP/1.1 431", 0) == 0);
    });
}

// Guards against a truncated response being taken for a complete, shorter one.
TEST_CASE("a truncated response is an error for the client") {
    const auto truncating = [](http_exchange& exchange) {
        exchange.begin_response({.status = 200, .fields = {}, .content_length = 100});
        static_cast<void>(exchange.write_body("only a part"));
        exchange.abort();
    };
    with_server(truncating, [&](fiber_runtime& runtime, http_server& server) {
        auto connection = http_connection::connect(runtime, {"127.0.0.1", server.port()}, monotonic_clock::now() + 2s);
        REQUIRE(connection.has_value());
        http_request_head head{.method = "GET", .target = "/", .fields = {}, .content_length = {}};
        head.fields.add("Host", "h");
        connection.value()->begin_request(head, monotonic_clock::now() + 2s);
        REQUIRE(connection.value()->finish_request().has_value());
        REQUIRE(connection.value()->read_head().has_value());
        std::array<char, 1000> buffer{};
        auto read = connection.value()->read_body(buffer);
        while (read && read.value() > 0)
            read = connection.value()->read_body(buffer);
        CHECK_FALSE(read.has_value());
        CHECK_FALSE(connection.value()->reusable());
    });
}

// Guards against a draining server that truncates a response or keeps connections open.
TEST_CASE("draining completes the request in progress and closes the connection") {
    fiber_runtime* active_runtime = nullptr;
    const auto slow = [&](http_exchange& exchange) {
        active_runtime->sleep_for(100ms);
        echo(exchange);
    };
    with_server(slow, [&](fiber_runtime& runtime, http_server& server) {
        active_runtime = &runtime;
        runtime.spawn([&] {
            runtime.sleep_for(30ms);
            CHECK(server.active_requests() == 1);
            server.start_draining();
            server.close_idle();
        });
        const std::string answer = send_raw(runtime, server.port(), "GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
        CHECK(answer.find("GET /x []") != std::string::npos);
        CHECK(answer.find("Connection: close") != std::string::npos);
        CHECK(server.connection_count() == 0);
    });
}

// Guards against a host that aborts when an upstream fails between the response head and the first body byte.
TEST_CASE("a response head that was not sent can be replaced") {
    const auto replacing = [](http_exchange& exchange) {
        exchange.begin_response({.status = 200, .fields = {}, .content_length = 100});
        CHECK_FALSE(exchange.response_started());
        static_cast<void>(respond(exchange, {.status = 502, .fields = {}, .content_length = {}}, "failed"));
    };
    with_server(replacing, [&](fiber_runtime& runtime, http_server& server) {
        const std::string answer =
            send_raw(runtime, server.port(), "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        CHECK(answer.rfind("HTTP/1.1 502", 0) == 0);
        CHECK(answer.find("Content-Length: 6\r\n") != std::string::npos);
        CHECK(answer.ends_with("\r\n\r\nfailed"));
    });
}

// Guards against a chunk terminator after a 204, which a caller would read as the start of its next response.
TEST_CASE("a response without content has no transfer coding") {
    const auto empty = [](http_exchange& exchange) {
        exchange.begin_response({.status = 204, .fields = {}, .content_length = {}});
        static_cast<void>(exchange.finish());
    };
    with_server(empty, [&](fiber_runtime& runtime, http_server& server) {
        const std::string answer =
            send_raw(runtime, server.port(), "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        CHECK(answer.rfind("HTTP/1.1 204", 0) == 0);
        CHECK(answer.find("Transfer-Encoding") == std::string::npos);
        CHECK(answer.ends_with("\r\n\r\n"));
        CHECK_FALSE(answer.ends_with("0\r\n\r\n"));
    });
}
