#include "net/http_server.h"

#include "net/closing_connection.h"
#include "net/fiber_runtime.h"
#include "net/http_server_connection.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace ragworthinge {

namespace {

using boost::asio::ip::tcp;

/// State shared by the server and its connections; it outlives the server until the last connection has ended.
struct server_state {
    http_server_options options;
    http_server::handler on_request;
    std::set<http_server_connection*> connections;
    std::set<std::shared_ptr<closing_connection>> closing;
    std::size_t active = 0;
    bool draining = false;
    bool closed = false;
};

class listening_server final : public http_server {
public:
    listening_server(fiber_runtime& runtime, tcp::acceptor acceptor, std::shared_ptr<server_state> state)
        : m_runtime(runtime), m_acceptor(std::make_shared<tcp::acceptor>(std::move(acceptor))),
          m_state(std::move(state)) {}
    listening_server(const listening_server&) = delete;
    listening_server& operator=(const listening_server&) = delete;
    ~listening_server() override { close_idle(); }

    void start() {
        m_runtime.spawn([&runtime = m_runtime, acceptor = m_acceptor, state = m_state] {
            accept_connections(runtime, *acceptor, state);
        });
    }

    std::uint16_t port() const override { return m_acceptor->local_endpoint().port(); }
    void start_draining() override { m_state->draining = true; }
    std::size_t connection_count() const override {
        return count([](const auto& one) { return !one.is_closing(); });
    }
    std::size_t active_requests() const override { return m_state->active; }

    std::size_t partly_received_requests() const override {
        return count([](const http_server_connection& connection) { return connection.is_receiving_head(); });
    }

    std::size_t closing_connections() const override {
        return m_state->closing.size() + count([](const auto& one) { return one.is_closing(); });
    }

    void set_limits(std::size_t header_limit, duration idle_timeout, duration header_timeout) override {
        m_state->options.header_limit = header_limit;
        m_state->options.idle_timeout = idle_timeout;
        m_state->options.header_timeout = header_timeout;
    }

    void close_idle() override {
        m_state->closed = true;
        m_state->draining = true;
        boost::system::error_code ignored;
        m_acceptor->close(ignored);
        const auto connections = m_state->connections;
        for (http_server_connection* connection : connections)
            connection->close_if_idle();
    }

private:
    template <class Predicate>
    std::size_t count(Predicate matches) const {
        const auto& connections = m_state->connections;
        return static_cast<std::size_t>(
            std::count_if(connections.begin(), connections.end(),
                          [&](const http_server_connection* connection) { return matches(*connection); }));
    }

    /// False if all connections are in use.
    static bool make_room(const server_state& state) {
        if (state.connections.size() + state.closing.size() < state.options.connection_limit)
            return true;
        if (state.closing.empty())
            return false;
        const auto replaced = *state.closing.begin();
        replaced->end();
        return true;
    }

    static void accept_connections(fiber_runtime& runtime, tcp::acceptor& acceptor,
                                   const std::shared_ptr<server_state>& state) {
        constexpr auto pause_after_failure = std::chrono::milliseconds(50);
        while (!state->closed) {
            auto socket =
                std::make_shared<boost::asio::basic_stream_socket<tcp, boost::asio::io_context::executor_type>>(
                    runtime.io().get_executor());
            const io_outcome outcome =
                await_io([&](auto handler) { acceptor.async_accept(*socket, std::move(handler)); });
            if (state->closed)
                return;
            if (outcome.failed()) {
                // Running out of file descriptors is temporary; retrying without a pause would only consume CPU time.
                runtime.sleep_for(pause_after_failure);
                continue;
            }
            if (!make_room(*state))
                continue;
            runtime.spawn([&runtime, socket, state] { serve_connection(runtime, std::move(*socket), state); });
        }
    }

    static void serve_connection(fiber_runtime& runtime,
                                 boost::asio::basic_stream_socket<tcp, boost::asio::io_context::executor_type> socket,
                                 const std::shared_ptr<server_state>& state) {
        boost::system::error_code failure;
        socket.set_option(tcp::no_delay(true), failure);
        const auto remote = socket.remote_endpoint(failure);
        if (failure)
            return;

        tcp_stream tcp_layer(std::move(socket));
        http_stream stream = state->options.tls ? http_stream(std::move(tcp_layer), state->options.tls->context())
                                                : http_stream(std::move(tcp_layer));
        http_server_connection connection(runtime, std::move(stream), remote.address().to_string(), state->options);
        state->connections.insert(&connection);
        connection.serve(state->on_request, state->active, state->draining);
        state->connections.erase(&connection);
        if (connection.is_closing())
            start_closing(runtime, connection.take_stream(), state);
    }

    static void start_closing(fiber_runtime& runtime, http_stream stream, const std::shared_ptr<server_state>& state) {
        const http_server_options& options = state->options;
        const auto closing = std::make_shared<closing_connection>(
            runtime.io(), std::move(stream),
            closing_options{.quiet_time = state->draining ? options.closing_time_while_draining : options.closing_time,
                            .limit = options.closing_limit,
                            .max_bytes = options.max_dropped_bytes});
        state->closing.insert(closing);
        closing->start([server = std::weak_ptr(state), one = std::weak_ptr(closing)] {
            if (const auto existing = server.lock())
                existing->closing.erase(one.lock());
        });
    }

    fiber_runtime& m_runtime;
    std::shared_ptr<tcp::acceptor> m_acceptor;
    std::shared_ptr<server_state> m_state;
};

} // namespace

result<std::unique_ptr<http_server>> http_server::listen(fiber_runtime& runtime, http_server_options options,
                                                         handler on_request) {
    boost::system::error_code failure;
    const auto address = boost::asio::ip::make_address(options.address, failure);
    if (failure)
        return ragworthinge::failure(error_code::invalid_argument, options.address + " is not an IP address");

    const tcp::endpoint endpoint(address, options.port);
    tcp::acceptor acceptor(runtime.io());
    acceptor.open(endpoint.protocol(), failure);
    if (!failure)
        acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
    if (!failure)
        acceptor.bind(endpoint, failure);
    if (!failure)
        acceptor.listen(boost::asio::socket_base::max_listen_connections, failure);
    if (failure)
        return ragworthinge::failure(error_code::unavailable, "cannot listen on " + options.address + ":" +
                                                                  std::to_string(options.port) + ": " +
                                                                  failure.message());

    auto state = std::make_shared<server_state>();
    state->options = std::move(options);
    state->on_request = std::move(on_request);
    auto server = std::make_unique<listening_server>(runtime, std::move(acceptor), std::move(state));
    server->start();
    return std::unique_ptr<http_server>(std::move(server));
}

} // namespace ragworthinge
