#include "net/http_server.h"

#include "net/await_io.h"
#include "net/fiber_runtime.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace ragworthinge;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

/// Caller on a slow line: little is received ahead of what it reads.
class slow_caller {
public:
    slow_caller(fiber_runtime& runtime, std::uint16_t port) : m_runtime(runtime), m_socket(runtime.io()) {
        m_socket.open(tcp::v4());
        m_socket.set_option(boost::asio::socket_base::receive_buffer_size(16 * 1024));
        const tcp::endpoint endpoint(boost::asio::ip::make_address("127.0.0.1"), port);
        await_io([&](auto handler) { m_socket.async_connect(endpoint, std::move(handler)); });
    }

    bool send(const std::string& bytes) {
        return !await_io([&](auto handler) {
                    boost::asio::async_write(m_socket, boost::asio::buffer(bytes), std::move(handler));
                }).failed();
    }

    /// Reads until the server closes, with a pause after each read. False if the connection was reset.
    bool read_to_end(duration pause) {
        std::string chunk(32UL * 1024, '\0');
        for (;;) {
            const io_outcome outcome = await_io(
                [&](auto handler) { m_socket.async_read_some(boost::asio::buffer(chunk), std::move(handler)); });
            if (outcome.failed())
                return outcome.failure == boost::asio::error::eof;
            received.append(chunk, 0, outcome.bytes);
            m_runtime.sleep_for(pause);
        }
    }

    std::string received;

private:
    fiber_runtime& m_runtime;
    tcp::socket m_socket;
};

/// Server that responds to each request at once, without reading its body, and then closes the connection.
class closing_fixture {
public:
    template <class Body>
    void run(Body&& body) {
        options.address = "127.0.0.1";
        runtime.spawn([&] {
            server = http_server::listen(runtime, options, [this](http_exchange& exchange) {
                         http_response_head head{.status = 413, .fields = {}, .content_length = {}};
                         head.fields.add("Connection", "close");
                         static_cast<void>(respond(exchange, std::move(head), std::string(response_bytes, 'r')));
                     }).value();
            body();
            server.reset();
            runtime.stop();
        });
        runtime.run();
    }

    static std::string upload(std::size_t bytes) {
        return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n";
    }

    fiber_runtime runtime;
    http_server_options options;
    std::unique_ptr<http_server> server;
    std::size_t response_bytes = 100;
};

constexpr std::size_t response_head_room = 200;

} // namespace

// Guards against a reset that destroys the response: the server closed with unread bytes of the caller in its socket.
TEST_CASE_METHOD(closing_fixture, "a slow caller that sent ahead receives the whole last response") {
    response_bytes = 512UL * 1024;
    run([&] {
        slow_caller caller(runtime, server->port());
        REQUIRE(caller.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n" + std::string(60'000, 'x')));
        CHECK(caller.read_to_end(2ms));
        CHECK(caller.received.size() > response_bytes);
        CHECK(caller.received.size() < response_bytes + response_head_room);
    });
}

// Guards against a reset of a caller that sends its whole body before it reads: it would not learn of the refusal.
TEST_CASE_METHOD(closing_fixture, "a caller that is still sending its body receives an early refusal") {
    run([&] {
        slow_caller caller(runtime, server->port());
        REQUIRE(caller.send(upload(3'000'000)));
        for (int sent = 0; sent < 30; ++sent) {
            CHECK(caller.send(std::string(100'000, 'u')));
            runtime.sleep_for(1ms);
        }
        CHECK(caller.read_to_end(0ms));
        CHECK(caller.received.starts_with("HTTP/1.1 413"));
        CHECK(caller.received.ends_with("rrr"));
    });
}

// Guards against giving up a caller on a slow line while it still receives.
TEST_CASE_METHOD(closing_fixture, "closing lasts as long as the caller receives") {
    options.closing_time = 150ms;
    response_bytes = 1024UL * 1024;
    run([&] {
        slow_caller caller(runtime, server->port());
        REQUIRE(caller.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n" + std::string(60'000, 'x')));
        const time_point started = monotonic_clock::now();
        CHECK(caller.read_to_end(10ms));
        CHECK(monotonic_clock::now() - started > options.closing_time * 2);
        CHECK(caller.received.size() > response_bytes);
    });
}

// Guards against connections of callers that never close, which would use up the connections of the host.
TEST_CASE_METHOD(closing_fixture, "a caller that neither reads nor closes is closed after a bounded time") {
    options.closing_time = 200ms;
    run([&] {
        std::vector<std::unique_ptr<slow_caller>> callers;
        for (int index = 0; index < 20; ++index) {
            callers.push_back(std::make_unique<slow_caller>(runtime, server->port()));
            REQUIRE(callers.back()->send(upload(1'000'000)));
        }
        runtime.sleep_for(50ms);
        CHECK(server->closing_connections() == 20);
        CHECK(server->connection_count() == 0);
        CHECK(server->active_requests() == 0);
        runtime.sleep_for(300ms);
        CHECK(server->closing_connections() == 0);
    });
}

// Guards against callers that never close and keep new callers out.
TEST_CASE_METHOD(closing_fixture, "at the connection limit a new connection replaces a closing one") {
    options.connection_limit = 3;
    run([&] {
        std::vector<std::unique_ptr<slow_caller>> callers;
        for (int index = 0; index < 9; ++index) {
            callers.push_back(std::make_unique<slow_caller>(runtime, server->port()));
            REQUIRE(callers.back()->send(upload(1'000'000)));
            runtime.sleep_for(10ms);
            CHECK(server->closing_connections() <= 3);
        }
        CHECK(callers.back()->read_to_end(0ms));
        CHECK(callers.back()->received.starts_with("HTTP/1.1 413"));
    });
}

// Guards against reading without end from a caller that ignores the response and keeps sending.
TEST_CASE_METHOD(closing_fixture, "the bytes that are dropped behind a response are bounded") {
    options.closing_time = 200ms;
    options.max_dropped_bytes = 100'000;
    run([&] {
        slow_caller caller(runtime, server->port());
        REQUIRE(caller.send(upload(100'000'000)));
        CHECK_FALSE(caller.send(std::string(50'000'000, 'u')));
        CHECK(server->closing_connections() == 0);
    });
}
