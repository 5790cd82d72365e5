#include "standins/standin_server.h"

#include "net/await_io.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/status.hpp>

#include <charconv>
#include <chrono>
#include <memory>
#include <utility>

namespace ragworthinge::standins {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::uint64_t largest_body_bytes = 64U << 20U;
constexpr std::uint32_t largest_head_bytes = 64U << 10U;
constexpr std::chrono::milliseconds stop_poll_period{1};

} // namespace

result<asio::ip::tcp::endpoint> parse_endpoint(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return failure(error_code::invalid_argument, "expected IP:PORT, got " + std::string(text));
    const std::string_view port_text = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto parsed = std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
    boost::system::error_code address_failure;
    const auto address = asio::ip::make_address(std::string(text.substr(0, colon)), address_failure);
    if (parsed.ec != std::errc() || parsed.ptr != port_text.data() + port_text.size() || address_failure)
        return failure(error_code::invalid_argument, "expected IP:PORT, got " + std::string(text));
    return asio::ip::tcp::endpoint(address, port);
}

standin_server::standin_server(fiber_runtime& runtime, handler on_request)
    : m_runtime(runtime), m_on_request(std::move(on_request)), m_acceptor(runtime.io().get_executor()) {}

result<void> standin_server::listen(const asio::ip::tcp::endpoint& endpoint) {
    m_endpoint = endpoint;
    return listen_again();
}

result<void> standin_server::listen_again() {
    if (m_acceptor.is_open())
        return boost::outcome_v2::success();
    boost::system::error_code problem;
    m_acceptor.open(m_endpoint.protocol(), problem);
    if (!problem)
        m_acceptor.set_option(asio::socket_base::reuse_address(true), problem);
    if (!problem)
        m_acceptor.bind(m_endpoint, problem);
    if (!problem)
        m_acceptor.listen(asio::socket_base::max_listen_connections, problem);
    if (problem) {
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
        return failure(error_code::unavailable, "cannot listen: " + problem.message());
    }
    m_endpoint = m_acceptor.local_endpoint();
    ++m_fibers;
    m_runtime.spawn([this] { accept_connections(); });
    return boost::outcome_v2::success();
}

void standin_server::accept_connections() {
    while (m_acceptor.is_open()) {
        socket connection(m_runtime.io().get_executor());
        // The wrapper has one signature; the generic handler would also match the overloads that hand over a socket.
        const io_outcome accepted = await_io([&](auto handler) {
            m_acceptor.async_accept(connection,
                                    [handler](boost::system::error_code problem) mutable { handler(problem); });
        });
        if (accepted.failed())
            continue;
        ++m_fibers;
        m_runtime.spawn([this, accepted_connection = std::make_shared<socket>(std::move(connection))] {
            serve(std::move(*accepted_connection));
        });
    }
    --m_fibers;
}

void standin_server::serve(socket connection) {
    boost::system::error_code ignored;
    connection.set_option(asio::ip::tcp::no_delay(true), ignored);
    m_connections.insert(&connection);
    beast::flat_buffer buffer;
    bool open = true;
    while (open && connection.is_open()) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(largest_body_bytes);
        parser.header_limit(largest_head_bytes);
        const io_outcome received =
            await_io([&](auto handler) { http::async_read(connection, buffer, parser, std::move(handler)); });
        if (received.failed())
            break;
        request received_request = parser.release();
        open = m_on_request(connection, received_request);
    }
    m_connections.erase(&connection);
    connection.close(ignored);
    --m_fibers;
}

void standin_server::refuse_connections() {
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
}

void standin_server::cut_connections() {
    boost::system::error_code ignored;
    for (socket* connection : m_connections)
        connection->close(ignored);
}

void standin_server::stop() {
    refuse_connections();
    while (m_fibers > 0) {
        cut_connections();
        m_runtime.sleep_for(stop_poll_period);
    }
}

bool write_all(standin_server::socket& connection, std::string_view bytes) {
    if (!connection.is_open())
        return false;
    const io_outcome sent = await_io([&](auto handler) {
        asio::async_write(connection, asio::buffer(bytes.data(), bytes.size()), std::move(handler));
    });
    return !sent.failed();
}

bool write_json(standin_server::socket& connection, const standin_server::request& request, unsigned status,
                std::string_view body, std::string_view fields) {
    std::string answer = "HTTP/1.1 " + std::to_string(status) + " ";
    answer += std::string(http::obsolete_reason(http::int_to_status(status)));
    answer += "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size());
    answer += "\r\n";
    answer += fields;
    answer += request.keep_alive() ? "\r\n" : "Connection: close\r\n\r\n";
    answer += body;
    return write_all(connection, answer) && request.keep_alive();
}

} // namespace ragworthinge::standins
