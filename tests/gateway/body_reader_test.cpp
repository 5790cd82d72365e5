#include "gateway/body_reader.h"

#include "gateway/gateway_fixture.h"
#include "net/await_io.h"

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace ragworthinge;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

/// Caller that sends parts of an upload.
class uploading_caller {
public:
    uploading_caller(fiber_runtime& runtime, std::uint16_t port) : m_socket(runtime.io()) {
        const tcp::endpoint endpoint(boost::asio::ip::make_address("127.0.0.1"), port);
        await_io([&](auto handler) { m_socket.async_connect(endpoint, std::move(handler)); });
    }

    void send_head(std::size_t body_bytes) {
        send("POST /lots/7 HTTP/1.1\r\nHost: lots.example\r\nX-Id: id-1\r\nX-Key: secret-key\r\nX-Left-Ms: 4000\r\n"
             "Content-Length: " +
             std::to_string(body_bytes) + "\r\n\r\n");
    }

    void send(const std::string& bytes) {
        await_io(
            [&](auto handler) { boost::asio::async_write(m_socket, boost::asio::buffer(bytes), std::move(handler)); });
    }

    std::string receive() {
        std::array<char, 2000> buffer{};
        const io_outcome outcome =
            await_io([&](auto handler) { m_socket.async_read_some(boost::asio::buffer(buffer), std::move(handler)); });
        return {buffer.data(), outcome.bytes};
    }

    void close() { m_socket.close(); }

private:
    tcp::socket m_socket;
};

constexpr std::size_t upload_bytes = 200'000;

scripted_upstream::script respond_ok() {
    return [](const auto& request) {
        return scripted_upstream::reply{make_response(request, 200, "done")};
    };
}

/// Sends only the head of an upload and expects a refusal that closes the connection.
void check_refused_early(gateway_fixture& host, std::size_t declared_bytes, const std::string& status) {
    uploading_caller caller(host.runtime, host.server->port());
    caller.send_head(declared_bytes);
    const std::string answer = caller.receive();
    CHECK(answer.starts_with("HTTP/1.1 " + status));
    CHECK(answer.find("Connection: close") != std::string::npos);
}

} // namespace

// Guards against reading a body that is refused in any case: the caller waits and the host holds it for nothing.
TEST_CASE("an upload that cannot be served is refused before its body is read") {
    gateway_fixture host;
    SECTION("longer than the limit") {
        host.add_upstream("one", respond_ok());
        host.run([&] { check_refused_early(host, host.configuration.limits.body_bytes + 1, "413"); });
    }
    SECTION("no upstream") {
        host.run([&] { check_refused_early(host, upload_bytes, "503"); });
    }
    SECTION("the account is over its rate") {
        host.configuration.accounts.front().requests_per_second = 0.001;
        host.configuration.accounts.front().burst = 0.001;
        host.add_upstream("one", respond_ok());
        host.run([&] { check_refused_early(host, upload_bytes, "429"); });
    }
}

// Guards against forwarding a part of an upload, and against a token that a broken-off upload uses up.
TEST_CASE("an upload that breaks off never reaches an upstream") {
    gateway_fixture host;
    host.configuration.accounts.front().requests_per_second = 0.1;
    host.configuration.accounts.front().burst = 4;
    scripted_upstream& upstream = host.add_upstream("one", respond_ok());
    host.run([&] {
        host.limiter.update_shares(*host.fleet.table(), host.membership, boot_time_now());
        for (int count = 0; count < 8; ++count) {
            uploading_caller broken(host.runtime, host.server->port());
            broken.send_head(upload_bytes);
            broken.send(std::string(upload_bytes / 2, 'u'));
            broken.close();
            host.runtime.sleep_for(20ms);
        }
        CHECK(upstream.requests.empty());

        uploading_caller whole(host.runtime, host.server->port());
        whole.send_head(upload_bytes);
        whole.send(std::string(upload_bytes, 'u'));
        const std::string answer = whole.receive();
        INFO(answer);
        CHECK(answer.starts_with("HTTP/1.1 200"));
        CHECK(upstream.requests.size() == 1);
    });
}

// Guards against a caller that does not read its response and holds up others.
TEST_CASE("a slow reader does not delay other callers") {
    gateway_fixture host;
    constexpr std::size_t long_response = 8'000'000;
    host.add_upstream("one", [](const auto& request) {
        const std::size_t size = request["X-Id"] == "id-2" ? long_response : 10;
        return scripted_upstream::reply{make_response(request, 200, std::string(size, 'r'))};
    });
    host.run([&] {
        uploading_caller slow(host.runtime, host.server->port());
        slow.send(
            "GET /lots/7 HTTP/1.1\r\nHost: lots.example\r\nX-Id: id-2\r\nX-Key: secret-key\r\nX-Left-Ms: 4000\r\n\r\n");
        // The response is held completely before the other caller comes, at the latest at the route's timeout.
        const time_point begin = monotonic_clock::now();
        while (host.client.held_response_bytes() < long_response && monotonic_clock::now() - begin < 800ms)
            host.runtime.sleep_for(10ms);
        CHECK(host.client.held_response_bytes() == long_response);
        const time_point started = monotonic_clock::now();
        CHECK(host.send(host.make_request()).status == 200);
        CHECK(monotonic_clock::now() - started < 200ms);
    });
}

// Guards against uploads that together exceed the host's memory, and against refusing one that fits a moment later.
TEST_CASE("uploads wait for memory for a bounded time and are then refused") {
    fiber_runtime runtime;
    body_reader reader(runtime, {.memory = 300'000, .hold_limit = 200ms});
    std::size_t most_held = 0;
    const auto read = [&](http_exchange& exchange) {
        byte_reservation reserved(reader.memory());
        std::string body;
        const auto end = reader.read(exchange, 1'000'000, time_point::max(), body, reserved);
        most_held = std::max(most_held, reader.memory().held());
        http_response_head head{.status = end.is_complete ? 200U : end.status, .fields = {}, .content_length = {}};
        head.fields.add("Connection", "close");
        static_cast<void>(respond(exchange, std::move(head), "end"));
    };
    auto server = http_server::listen(runtime, {.address = "127.0.0.1"}, read).value();
    runtime.spawn([&] {
        uploading_caller slow(runtime, server->port());
        slow.send_head(upload_bytes);
        runtime.sleep_for(20ms);
        uploading_caller second(runtime, server->port());
        second.send_head(upload_bytes);
        CHECK(second.receive().starts_with("HTTP/1.1 503"));
        uploading_caller third(runtime, server->port());
        third.send_head(upload_bytes);
        runtime.sleep_for(20ms);
        slow.send(std::string(upload_bytes, 'u'));
        CHECK(slow.receive().starts_with("HTTP/1.1 200"));
        third.send(std::string(upload_bytes, 'u'));
        CHECK(third.receive().starts_with("HTTP/1.1 200"));
        uploading_caller never(runtime, server->port());
        never.send_head(400'000);
        CHECK(never.receive().starts_with("HTTP/1.1 413"));
        CHECK(most_held == upload_bytes);
        runtime.sleep_for(20ms);
        CHECK(reader.memory().held() == 0);
        server.reset();
        runtime.stop();
    });
    runtime.run();
}
