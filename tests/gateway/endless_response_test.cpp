#include "gateway/gateway_fixture.h"

using namespace ragworthinge;
using namespace std::chrono_literals;

namespace {

/// An upstream that sends a prefix and then the same bytes repeatedly until its connection is closed.
class endless_upstream {
public:
    endless_upstream(gateway_fixture& host, const std::string& id, std::string prefix, std::string repeated)
        : m_server(host.runtime, [this, prefix, repeated](auto& socket, auto& request) {
              const std::string request_id(request["X-Id"]);
              std::string head = prefix;
              if (const auto at = head.find("ID"); at != std::string::npos)
                  head.replace(at, 2, request_id);
              ++connections;
              bool is_open = standins::write_all(socket, head);
              while (is_open) {
                  is_open = standins::write_all(socket, repeated);
                  sent += repeated.size();
              }
              ++closed;
              return false;
          }) {
        REQUIRE(m_server.listen({boost::asio::ip::make_address("127.0.0.1"), 0}));
        upstream_description description = make_upstream(id);
        description.address = "127.0.0.1:" + std::to_string(m_server.port());
        host.fleet.apply(upstream_announced{description}, boot_time_now());
    }

    void stop() { m_server.stop(); }

    std::size_t sent = 0;
    int connections = 0;
    int closed = 0;

private:
    standins::standin_server m_server;
};

struct endless_case {
    const char* name;
    std::string prefix;
    std::string repeated;
    std::size_t max_sent; ///< Bytes, including socket buffers, by which the gateway must have closed the connection.
};

std::vector<endless_case> endless_cases() {
    const std::string filler(8000, 'a');
    const std::string chunked_head =
        "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Receipt: r\r\nTransfer-Encoding: chunked\r\n\r\n";
    constexpr std::size_t small = 8UL * 1024 * 1024; // Limits of 128 kB and the buffers of two loopback sockets.
    constexpr std::size_t large =
        32UL * 1024 * 1024; // The limit of one response and the buffers of two loopback sockets.
    return {{"no response at all", "", filler, small},
            {"a status line", "HTTP/1.1 200 ", filler, small},
            {"one field", "HTTP/1.1 200 OK\r\nX-Long: ", filler, small},
            {"fields", "HTTP/1.1 200 OK\r\n", "X-Field: " + filler + "\r\n", small},
            {"interim responses", "", "HTTP/1.1 102 Processing\r\nX-Filler: " + filler + "\r\n\r\n", small},
            {"a chunk size", chunked_head, std::string(8000, '0'), small},
            {"a chunk extension", chunked_head + "5;x=", filler, small},
            {"trailers", chunked_head + "0\r\n", "X-Trailer: " + filler + "\r\n", small},
            {"chunks", chunked_head, "1f40\r\n" + filler + "\r\n", large},
            {"a body without a length", "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Receipt: r\r\n\r\n", filler, large},
            {"responses to other requests", "",
             "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Receipt: r\r\nContent-Length: 8000\r\n\r\n" + filler, small}};
}

} // namespace

// Guards against a faulty upstream that exhausts the host's memory with an endless stream of bytes in any part of a
// response. The caller must get an error within its time limit, and the connection must be closed.
TEST_CASE("an endless response is rejected and its connection closed") {
    for (const endless_case& one : endless_cases()) {
        gateway_fixture host;
        host.configuration.routes.front().is_idempotent = false;
        host.configuration.routes.front().timeout = 3s;
        endless_upstream upstream(host, "one", one.prefix, one.repeated);
        host.run([&] {
            INFO(one.name);
            const time_point started = monotonic_clock::now();
            const received_response response = host.send(host.make_request("POST"));
            CHECK((response.status == 502 || response.status == 504));
            CHECK(monotonic_clock::now() - started < 3500ms);
            host.runtime.sleep_for(50ms);
            CHECK(upstream.connections == 1);
            CHECK(upstream.closed == 1);
            CHECK(upstream.sent < one.max_sent);
            CHECK(host.client.held_response_bytes() == 0);
            upstream.stop();
        });
    }
}

// Guards against many large responses that together exceed the memory of a small host.
TEST_CASE("concurrent large responses stay within the memory budget, and all are delivered") {
    gateway_fixture host;
    host.configuration.routes.front().timeout = 5s;
    const std::string body(6UL * 1024 * 1024, 'x');
    for (const std::string id : {"one", "two", "three"})
        host.add_upstream(id, [&](const auto& request) {
            return scripted_upstream::reply{make_response(request, 200, body), true};
        });
    std::size_t max_held = 0;
    host.run([&] {
        int complete = 0;
        constexpr int callers = 12;
        int ended = 0;
        for (int caller = 0; caller < callers; ++caller) {
            host.runtime.spawn([&, caller] {
                http_request_head head = host.make_request();
                head.fields.set("X-Object", std::to_string(caller));
                const received_response response = host.send(head);
                complete += response.status == 200 && response.body.size() == body.size() ? 1 : 0;
                ++ended;
            });
        }
        while (ended < callers) {
            max_held = std::max(max_held, host.client.held_response_bytes());
            host.runtime.sleep_for(1ms);
        }
        CHECK(complete == callers);
        const upstream_client_options limits;
        CHECK(max_held <= limits.response_memory + limits.max_response_bytes);
        CHECK(host.client.held_response_bytes() == 0);
    });
}
