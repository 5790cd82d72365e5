#pragma once

#include "base/result.h"
#include "net/fiber_runtime.h"

#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_set>

namespace ragworthinge::standins {

/// Splits "IP:PORT".
result<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view text);

/// HTTP/1.1 server for stand-ins: one fiber per connection, one request at a time per connection.
/// Destroy it only after `stop` returned or when its runtime never runs again.
class standin_server {
public:
    using socket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, boost::asio::io_context::executor_type>;
    using request = boost::beast::http::request<boost::beast::http::string_body>;
    /// Answers one request; false closes the connection.
    using handler = std::function<bool(socket&, request&)>;

    standin_server(fiber_runtime& runtime, handler on_request);

    /// Binds and starts to accept. Port 0 takes any free port.
    result<void> listen(const boost::asio::ip::tcp::endpoint& endpoint);

    /// Port in use after `listen`.
    std::uint16_t port() const noexcept { return m_endpoint.port(); }

    /// Closes the listening socket, so that connecting fails; `listen_again` opens the same port.
    void refuse_connections();
    result<void> listen_again();

    /// Closes all established connections.
    void cut_connections();

    /// Closes everything and waits for the fibers to end.
    void stop();

private:
    using acceptor = boost::asio::basic_socket_acceptor<boost::asio::ip::tcp, boost::asio::io_context::executor_type>;

    void accept_connections();
    void serve(socket connection);

    fiber_runtime& m_runtime;
    handler m_on_request;
    acceptor m_acceptor;
    boost::asio::ip::tcp::endpoint m_endpoint;
    std::unordered_set<socket*> m_connections;
    std::size_t m_fibers = 0;
};

/// Writes all bytes; false if the connection broke.
bool write_all(standin_server::socket& connection, std::string_view bytes);

/// Writes a complete answer with a Content-Length; false if the connection broke or is to be closed. `fields` are
/// further header lines, each with its line end.
bool write_json(standin_server::socket& connection, const standin_server::request& request, unsigned status,
                std::string_view body, std::string_view fields = {});

} // namespace ragworthinge::standins
