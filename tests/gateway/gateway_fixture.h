#pragma once

#include "base/boot_clock.h"
#include "gateway/request_gateway.h"
#include "net/fiber_runtime.h"
#include "net/http_connection.h"
#include "net/http_server.h"
#include "standins/standin_server.h"
#include "steering/steering_fixture.h"

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <exception>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ragworthinge {

inline const header_field_names test_field_names{.request_id = "X-Id",
                                                 .time_left = "X-Left-Ms",
                                                 .affinity = "X-Object",
                                                 .key = "X-Key",
                                                 .account = "X-Account",
                                                 .expected_upstream = "X-Expect",
                                                 .not_run = "X-Not-Run",
                                                 .upstream_load = "X-Load",
                                                 .receipt = "X-Receipt",
                                                 .leaving = "X-Leaving"};

/// The response that a caller received.
struct received_response {
    unsigned status = 0;
    http_fields fields;
    std::string body;
    bool is_complete = false;
};

/// An upstream whose responses come from a script: raw bytes, and whether the connection stays open.
class scripted_upstream {
public:
    struct reply {
        std::string bytes;
        bool keep_open = true;
        duration delay{0};
    };
    using script = std::function<reply(const standins::standin_server::request&)>;

    scripted_upstream(fiber_runtime& runtime, script respond)
        : m_server(runtime, [this, &runtime, respond](auto& socket, auto& request) {
              requests.push_back(request);
              const reply made = respond(request);
              if (made.delay > duration::zero())
                  runtime.sleep_for(made.delay);
              return standins::write_all(socket, made.bytes) && made.keep_open;
          }) {
        REQUIRE(m_server.listen({boost::asio::ip::make_address("127.0.0.1"), 0}));
    }

    std::uint16_t port() const { return m_server.port(); }
    void stop() { m_server.stop(); }
    void refuse_connections() { m_server.refuse_connections(); }

    std::vector<standins::standin_server::request> requests;

private:
    standins::standin_server m_server;
};

/// A complete response to the request, as an upstream sends it.
inline std::string make_response(const standins::standin_server::request& request, unsigned status,
                                 const std::string& body, const std::string& fields = "X-Receipt: r1\r\n") {
    const std::string id(request["X-Id"]);
    return "HTTP/1.1 " + std::to_string(status) + " Text\r\nX-Id: " + id + "\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A gateway with a listener for callers and scripted upstreams, all on one thread.
class gateway_fixture {
public:
    gateway_fixture()
        : fleet(make_fleet()), membership(make_membership("host")),
          dispatcher({.placement = {.own_region = "gulf"}}, fleet, membership),
          retries({.ratio = 0.2, .fixed_allowance = 50}), log("host", log_level::off),
          client(runtime, test_field_names, log), exchange(runtime, membership, log), gateway(make_components(fleet)) {
        configuration = make_configuration();
        steering_account account;
        account.name = "florist";
        account.keys = {"secret-key"};
        configuration.accounts = {account};
        configuration.routes.front().timeout = std::chrono::milliseconds(800);
    }

    /// Components for a gateway that takes its configuration from the given state.
    request_gateway_components make_components(fleet_state& state) {
        return {.runtime = runtime,
                .fleet = state,
                .membership = membership,
                .dispatcher = dispatcher,
                .limiter = limiter,
                .retries = retries,
                .crashes = crashes,
                .exchange = exchange,
                .client = client,
                .field_names = test_field_names,
                .log = log,
                .counters = counters};
    }

    scripted_upstream& add_upstream(const std::string& id, scripted_upstream::script respond) {
        upstreams.push_back(std::make_unique<scripted_upstream>(runtime, std::move(respond)));
        upstream_description description = make_upstream(id);
        description.address = "127.0.0.1:" + std::to_string(upstreams.back()->port());
        fleet.apply(upstream_announced{description}, boot_time_now());
        return *upstreams.back();
    }

    /// Runs a test body in a fiber, with the configuration in force.
    void run(const std::function<void()>& body) {
        std::exception_ptr thrown;
        runtime.spawn([&] {
            try {
                fleet.apply(configuration_submitted{configuration}, boot_time_now());
                server = http_server::listen(runtime,
                                             {.address = "127.0.0.1",
                                              .may_run_concurrently =
                                                  [this](const http_request_head& head) {
                                                      return gateway.may_run_concurrently(head);
                                                  }},
                                             [this](http_exchange& one) { gateway.handle(one); })
                             .value();
                body();
            } catch (...) {
                thrown = std::current_exception();
            }
            // Fibers of this runtime must end before the next test's runtime runs on this thread.
            server.reset();
            for (auto& upstream : upstreams)
                upstream->stop();
            runtime.stop();
        });
        runtime.run();
        if (thrown)
            std::rethrow_exception(thrown);
    }

    http_request_head make_request(const std::string& method = "GET") const {
        http_request_head head{
            .method = method, .target = "/lots/7", .fields = {}, .content_length = {}, .has_body = false};
        head.fields.add("Host", "lots.example");
        head.fields.add("X-Id", "id-1");
        head.fields.add("X-Key", "secret-key");
        head.fields.add("X-Left-Ms", "4000");
        head.fields.add("X-Object", "17");
        return head;
    }

    received_response send(const http_request_head& head) {
        const time_point deadline = monotonic_clock::now() + std::chrono::seconds(5);
        auto connection = http_connection::connect(runtime, {"127.0.0.1", server->port()}, deadline).value();
        connection->begin_request(head, deadline);
        REQUIRE(connection->finish_request());
        received_response response;
        const auto received = connection->read_head();
        if (!received)
            return response;
        response.status = received.value().status;
        response.fields = received.value().fields;
        std::array<char, 1000> chunk{};
        for (;;) {
            const auto size = connection->read_body(chunk);
            if (!size)
                return response;
            if (size.value() == 0)
                break;
            response.body.append(chunk.data(), size.value());
        }
        response.is_complete = true;
        return response;
    }

    fiber_runtime runtime;
    steering_configuration configuration;
    fleet_state fleet;
    fleet_membership membership;
    request_dispatcher dispatcher;
    account_limiter limiter;
    fleet_retry_budget retries;
    crash_tracker crashes;
    event_log log;
    metrics counters;
    upstream_client client;
    fleet_exchange exchange;
    request_gateway gateway;
    std::vector<std::unique_ptr<scripted_upstream>> upstreams;
    std::unique_ptr<http_server> server;
};

} // namespace ragworthinge
