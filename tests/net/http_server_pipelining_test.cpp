#include "net/http_server.h"

#include "net/await_io.h"
#include "net/fiber_event.h"
#include "net/fiber_runtime.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

using namespace ragworthinge;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

/// TCP connection of a caller that sends and receives raw bytes.
class raw_caller {
public:
    raw_caller(fiber_runtime& runtime, std::uint16_t port) : m_runtime(runtime), m_socket(runtime.io()) {
        const tcp::endpoint endpoint(boost::asio::ip::make_address("127.0.0.1"), port);
        await_io([&](auto handler) { m_socket.async_connect(endpoint, std::move(handler)); });
    }

    void send(const std::string& bytes) {
        await_io(
            [&](auto handler) { boost::asio::async_write(m_socket, boost::asio::buffer(bytes), std::move(handler)); });
    }

    /// Reads until the received text contains `part` the given number of times, the server closes the connection, or
    /// the time limit is reached.
    std::string read_until(const std::string& part, std::size_t times, duration limit = 3s) {
        auto open = std::make_shared<bool>(true);
        m_runtime.spawn([this, open, limit] {
            m_runtime.sleep_for(limit);
            if (*open)
                m_socket.cancel();
        });
        while (count(received, part) < times) {
            std::array<char, 4096> buffer{};
            const io_outcome outcome = await_io(
                [&](auto handler) { m_socket.async_read_some(boost::asio::buffer(buffer), std::move(handler)); });
            if (outcome.failed()) {
                closed = outcome.failure != boost::asio::error::operation_aborted;
                break;
            }
            received.append(buffer.data(), outcome.bytes);
        }
        *open = false;
        return received;
    }

    void close() { m_socket.close(); }

    static std::size_t count(const std::string& text, const std::string& part) {
        std::size_t found = 0;
        for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
            ++found;
        return found;
    }

    std::string received;
    bool closed = false;

private:
    fiber_runtime& m_runtime;
    tcp::socket m_socket;
};

/// Server whose handler sleeps for the time given in the target (`/slow/MILLISECONDS/...`) and responds with the target
/// and the size of the request body.
class pipelining_fixture {
public:
    /// Runs the body in a fiber. All callers that it creates must be destroyed when it returns.
    template <class Body>
    void run(Body&& body) {
        runtime.spawn([&] {
            options.address = "127.0.0.1";
            options.may_run_concurrently = [](const http_request_head& head) {
                return head.method == "GET";
            };
            server =
                http_server::listen(runtime, options, [this](http_exchange& exchange) { answer(exchange); }).value();
            body();
            server.reset();
            // Lets the fibers of connections end before the next test runs its runtime on this thread.
            runtime.sleep_for(50ms);
            runtime.stop();
        });
        runtime.run();
    }

    static std::string get(const std::string& target, const std::string& fields = {}) {
        return "GET " + target + " HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n";
    }

    std::size_t start_position(const std::string& target) const {
        return static_cast<std::size_t>(std::find(started_targets.begin(), started_targets.end(), target) -
                                        started_targets.begin());
    }

    fiber_runtime runtime;
    http_server_options options;
    std::unique_ptr<http_server> server;
    std::vector<std::string> started_targets;
    std::vector<std::string> finished_targets;
    std::vector<std::string> disconnected_targets; ///< Targets whose handlers were told that the caller disconnected.
    std::size_t running = 0;
    std::size_t max_running = 0;
    std::size_t answer_bytes = 0; ///< Padding of each response in bytes.
    std::string truncated_target; ///< Target whose response is truncated.

private:
    void answer(http_exchange& exchange) {
        const std::string target = exchange.request().target;
        started_targets.push_back(target);
        max_running = std::max(max_running, ++running);
        std::array<char, 512> chunk{};
        std::size_t body = 0;
        for (auto read = exchange.read_body(chunk);; read = exchange.read_body(chunk)) {
            if (!read) {
                --running;
                return;
            }
            if (read.value() == 0)
                break;
            body += read.value();
        }
        exchange.watch_disconnect([this, target] { disconnected_targets.push_back(target); });
        if (target.starts_with("/slow/"))
            runtime.sleep_for(std::chrono::milliseconds(std::stoi(target.substr(6))));
        --running;
        finished_targets.push_back(target);
        if (target == truncated_target) {
            exchange.begin_response({.status = 200, .fields = {}, .content_length = 1000});
            static_cast<void>(exchange.write_body("a part of "));
            exchange.abort();
            return;
        }
        static_cast<void>(respond(exchange, {.status = 200, .fields = {}, .content_length = {}},
                                  "[" + target + " " + std::to_string(body) + "]" + std::string(answer_bytes, 'x')));
    }
};

constexpr const char* status_line = "HTTP/1.1 200";

} // namespace

// Guards against pipelined requests running one after another: four of 150 ms each took 600 ms.
TEST_CASE("pipelined requests run concurrently and are answered in order") {
    pipelining_fixture host;
    host.run([&] {
        raw_caller caller(host.runtime, host.server->port());
        const time_point started = monotonic_clock::now();
        caller.send(host.get("/slow/250/1") + host.get("/slow/150/2") + host.get("/slow/20/3") + host.get("/fast/4"));
        const std::string text = caller.read_until("/fast/4", 1);
        CHECK(monotonic_clock::now() - started < 400ms);
        CHECK(text.find("[/slow/250/1 0]") < text.find("[/slow/150/2 0]"));
        CHECK(text.find("[/slow/150/2 0]") < text.find("[/slow/20/3 0]"));
        CHECK(text.find("[/slow/20/3 0]") < text.find("[/fast/4 0]"));
        CHECK(raw_caller::count(text, status_line) == 4);
        CHECK(host.finished_targets.front() == "/fast/4");

        // The connection can be reused.
        caller.send(host.get("/fast/5"));
        CHECK(caller.read_until("[/fast/5 0]", 1).ends_with("[/fast/5 0]"));
    });
}

TEST_CASE("a request received in several parts runs concurrently with earlier ones") {
    pipelining_fixture host;
    host.run([&] {
        raw_caller caller(host.runtime, host.server->port());
        caller.send(host.get("/slow/300/1") + "GET /fa");
        host.runtime.sleep_for(50ms);
        CHECK(host.started_targets == std::vector<std::string>{"/slow/300/1"});
        caller.send("st/2 HTTP/1.1\r\nHost: h\r\n\r\n");
        host.runtime.sleep_for(50ms);
        CHECK(host.finished_targets == std::vector<std::string>{"/fast/2"});
        CHECK(raw_caller::count(caller.read_until("[/fast/2 0]", 1), status_line) == 2);
    });
}

// Guards against a non-idempotent request whose response is lost because an earlier response closes the connection.
TEST_CASE("a request that may not run concurrently waits for earlier ones, and later ones wait for it") {
    pipelining_fixture host;
    host.run([&] {
        raw_caller caller(host.runtime, host.server->port());
        caller.send(host.get("/slow/100/1") + "POST /slow/50/2 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\none" +
                    host.get("/fast/3"));
        host.runtime.sleep_for(50ms);
        CHECK(host.started_targets == std::vector<std::string>{"/slow/100/1"});
        const std::string text = caller.read_until("[/fast/3 0]", 1);
        CHECK(host.finished_targets == std::vector<std::string>{"/slow/100/1", "/slow/50/2", "/fast/3"});
        CHECK(text.find("[/slow/50/2 3]") != std::string::npos);
    });
}

TEST_CASE("a request body is read after the earlier requests are answered") {
    pipelining_fixture host;
    host.run([&] {
        raw_caller caller(host.runtime, host.server->port());
        caller.send(host.get("/slow/100/1") +
                    "GET /with/body HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nab");
        host.runtime.sleep_for(150ms);
        caller.send("cd\r\n0\r\n\r\n" + host.get("/fast/3"));
        const std::string text = caller.read_until("[/fast/3 0]", 1);
        INFO(text);
        CHECK(text.find("[/with/body 4]") != std::string::npos);
        CHECK(host.max_running == 1);
    });
}

// Guards against a caller that occupies all upstream slots over one connection.
TEST_CASE("of 1000 pipelined requests only a few run concurrently, and all are answered") {
    pipelining_fixture host;
    host.run([&] {
        raw_caller caller(host.runtime, host.server->port());
        std::string all;
        for (int index = 0; index < 1000; ++index)
            all += host.get("/slow/1/" + std::to_string(index));
        host.runtime.spawn([&] { caller.send(all); });
        const std::string text = caller.read_until(status_line, 1000, 20s);
        CHECK(raw_caller::count(text, status_line) == 1000);
        CHECK(host.max_running == host.options.max_concurrent_requests);
        std::size_t last = 0;
        for (int index = 0; index < 1000; ++index) {
            const std::size_t at = text.find("[/slow/1/" + std::to_string(index) + " 0]");
            REQUIRE(at != std::string::npos);
            REQUIRE(at >= last);
            last = at;
        }
    });
}

// Guards against unbounded memory for responses that a caller does not read.
TEST_CASE("no further request starts while too many response bytes are queued") {
    pipelining_fixture host;
    host.answer_bytes = 200'000;
    host.run([&] {
        raw_caller caller(host.runtime, host.server->port());
        std::string all = host.get("/slow/300/first");
        for (int index = 0; index < 20; ++index)
            all += host.get("/slow/10/" + std::to_string(index));
        caller.send(all);
        host.runtime.sleep_for(200ms);
        // At most the limit of concurrent requests started. Two queued responses exceed the byte limit, so no more
        // start.
        CHECK(host.started_targets.size() <= host.options.max_concurrent_requests);
        CHECK(raw_caller::count(caller.read_until(status_line, 21, 20s), status_line) == 21);
    });
}

TEST_CASE("an incomplete request at the end does not prevent responses to earlier ones") {
    pipelining_fixture host;
    host.options.header_timeout = 200ms;
    host.run([&] {
        raw_caller caller(host.runtime, host.server->port());
        caller.send(host.get("/slow/300/1") + host.get("/fast/2") + "GET /half HT");
        const std::string text = caller.read_until("never", 1, 2s);
        CHECK(raw_caller::count(text, status_line) == 2);
        CHECK(caller.closed);
        CHECK(host.started_targets.size() == 2);
    });
}

TEST_CASE("a malformed head is rejected after the responses to earlier requests") {
    pipelining_fixture host;
    host.run([&] {
        raw_caller caller(host.runtime, host.server->port());
        caller.send(host.get("/slow/100/1") + "GET /bad HTTP/1.1\nHost: h\n\n" + host.get("/fast/3"));
        const std::string text = caller.read_until("never", 1, 2s);
        CHECK(text.find("[/slow/100/1 0]") < text.find("HTTP/1.1 400"));
        CHECK(raw_caller::count(text, "HTTP/1.1 ") == 2);
        CHECK(caller.closed);
    });
}

// Guards against running requests whose responses cannot be sent, because an earlier request closes the connection.
TEST_CASE("no request starts after one with Connection: close") {
    pipelining_fixture host;
    host.run([&] {
        raw_caller caller(host.runtime, host.server->port());
        caller.send(host.get("/slow/50/1") + host.get("/slow/10/2", "Connection: close\r\n") + host.get("/fast/3"));
        const std::string text = caller.read_until("never", 1, 2s);
        CHECK(raw_caller::count(text, status_line) == 2);
        CHECK(raw_caller::count(text, "Connection: close") == 1);
        CHECK(caller.closed);
        CHECK(host.started_targets.size() == 2);
    });
}

// Guards against upstream work that continues after its caller disconnected: buffered bytes of later requests hid the
// end of the connection.
TEST_CASE("every request in progress is notified when the caller disconnects") {
    pipelining_fixture host;
    host.run([&] {
        raw_caller caller(host.runtime, host.server->port());
        caller.send(host.get("/slow/400/1") + host.get("/slow/400/2"));
        host.runtime.sleep_for(50ms);
        caller.send("GET /half");
        host.runtime.sleep_for(50ms);
        CHECK(host.disconnected_targets.empty());
        caller.close();
        host.runtime.sleep_for(50ms);
        CHECK(host.disconnected_targets == std::vector<std::string>{"/slow/400/1", "/slow/400/2"});
        host.runtime.sleep_for(400ms);
        CHECK(host.server->connection_count() == 0);
    });
}

TEST_CASE("a request that runs alone is notified of a disconnect although later bytes are buffered") {
    pipelining_fixture host;
    host.run([&] {
        raw_caller caller(host.runtime, host.server->port());
        caller.send("POST /slow/400/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\none" + host.get("/fast/2"));
        host.runtime.sleep_for(50ms);
        caller.close();
        host.runtime.sleep_for(50ms);
        CHECK(host.disconnected_targets == std::vector<std::string>{"/slow/400/1"});
        host.runtime.sleep_for(400ms);
        CHECK(host.started_targets.size() == 1);
        CHECK(host.server->connection_count() == 0);
    });
}

// Guards against a planned stop that interrupts requests in progress.
TEST_CASE("a stop completes every request in progress and starts no further one") {
    pipelining_fixture host;
    host.run([&] {
        raw_caller caller(host.runtime, host.server->port());
        caller.send(host.get("/slow/200/1") + host.get("/slow/100/2"));
        host.runtime.sleep_for(50ms);
        host.server->start_draining();
        caller.send(host.get("/fast/3"));
        host.runtime.sleep_for(20ms);
        host.server->close_idle();
        const std::string text = caller.read_until("never", 1, 2s);
        CHECK(text.find("[/slow/200/1 0]") < text.find("[/slow/100/2 0]"));
        CHECK(raw_caller::count(text, status_line) == 2);
        CHECK(raw_caller::count(text, "Connection: close") == 1);
        CHECK(text.find("Connection: close") > text.find("[/slow/200/1 0]"));
        CHECK(host.started_targets.size() == 2);
        CHECK(host.server->connection_count() == 0);
    });
}

// Guards against a response sent after a truncated one, which the caller would read as its remainder.
TEST_CASE("a truncated response closes the connection and ends later requests") {
    pipelining_fixture host;
    host.truncated_target = "/slow/100/1";
    host.run([&] {
        raw_caller caller(host.runtime, host.server->port());
        caller.send(host.get("/slow/100/1") + host.get("/fast/2") + host.get("/slow/300/3"));
        const std::string text = caller.read_until("never", 1, 2s);
        CHECK(raw_caller::count(text, status_line) == 1);
        CHECK(text.ends_with("a part of "));
        CHECK(caller.closed);
        host.runtime.sleep_for(20ms);
        CHECK(std::count(host.disconnected_targets.begin(), host.disconnected_targets.end(), "/slow/300/3") == 1);
    });
}

// Guards against unbounded memory for chunk extensions, for which the parser has no limit.
TEST_CASE("an oversized chunk extension and malformed chunks are answered with 400") {
    pipelining_fixture host;
    host.run([&] {
        const std::string head = "POST /fast/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
        for (const std::string& body :
             {"5;x=" + std::string(100'000, 'a') + "\r\nhello\r\n0\r\n\r\n", std::string("zz\r\nhello\r\n0\r\n\r\n")}) {
            raw_caller caller(host.runtime, host.server->port());
            caller.send(head + body);
            const std::string text = caller.read_until("never", 1, 2s);
            INFO(text);
            CHECK(text.starts_with("HTTP/1.1 400"));
            CHECK(text.find("not-run") == std::string::npos);
            CHECK(raw_caller::count(text, "HTTP/1.1 ") == 1);
        }
    });
}
