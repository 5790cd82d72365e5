#include "net/http_connection.h"

#include "net/fiber_runtime.h"
#include "net/http_stream.h"

#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <optional>
#include <utility>

namespace ragworthinge {

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

constexpr unsigned http_version_1_1 = 11;
constexpr unsigned first_interim_status = 100;
constexpr unsigned first_final_status = 200;
constexpr unsigned first_invalid_status = 600;
constexpr std::uint32_t response_header_limit = 64 * 1024;
/// Limit of received but unparsed bytes. It also bounds chunk extensions and trailers, for which the parser has no
/// limit.
constexpr std::size_t receive_buffer_limit = 2 * response_header_limit;
/// Interim responses (1xx) accepted before the final one. A server needs one or two; without a limit, a server that
/// keeps sending them would never finish the read.
constexpr int max_interim_responses = 8;

/// Whether the status belongs to a class of RFC 9110, section 15.
bool is_valid_status(unsigned status) noexcept {
    return status >= first_interim_status && status < first_invalid_status;
}

error to_error(const char* operation, const boost::system::error_code& cause) {
    const bool timed_out = cause == boost::beast::error::timeout;
    return {timed_out ? error_code::timeout : error_code::unavailable, std::string(operation) + ": " + cause.message()};
}

/// Makes the operating system close the connection if the peer acknowledges neither data nor keep-alive probes.
void set_dead_peer_timeout(int socket, std::chrono::milliseconds limit) {
    const auto user_timeout = static_cast<unsigned>(limit.count());
    const int on = 1;
    const int probe_seconds = std::max(1, static_cast<int>(limit.count() / 2000));
    const int probes = 2;
    // Errors are ignored: without these options a dead peer is still detected, at the request's deadline.
    static_cast<void>(::setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout, sizeof user_timeout));
    static_cast<void>(::setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on));
    static_cast<void>(::setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &probe_seconds, sizeof probe_seconds));
    static_cast<void>(::setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &probe_seconds, sizeof probe_seconds));
    static_cast<void>(::setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes));
}

class client_connection final : public http_connection {
public:
    explicit client_connection(http_stream stream) : m_stream(std::move(stream)) {}

    void begin_request(const http_request_head& head, time_point deadline) override {
        m_deadline = deadline;
        m_request_started = false;
        m_reusable = false;
        m_head_request = head.method == "HEAD";
        m_request.emplace();
        m_request->version(http_version_1_1);
        m_request->method_string(head.method);
        m_request->target(head.target);
        for (const http_field& field : head.fields.entries())
            m_request->insert(field.name, field.value);
        if (head.content_length)
            m_request->content_length(*head.content_length);
        else if (head.has_body)
            m_request->chunked(true);
        m_request->body().data = nullptr;
        m_request->body().size = 0;
        m_request->body().more = head.has_body;
        m_serializer.emplace(*m_request);
        m_parser.reset();
    }

    result<void> write_body(std::string_view bytes) override { return send(bytes.data(), bytes.size(), true); }

    result<void> finish_request() override {
        if (m_serializer->is_done())
            return boost::outcome_v2::success();
        return send(nullptr, 0, false);
    }

    result<http_response_head> read_head() override {
        int interim = 0;
        do {
            if (interim++ > max_interim_responses)
                return failure(error_code::protocol_violation, "the server sends interim answers without end");
            m_parser.emplace();
            m_parser->body_limit(boost::none);
            m_parser->header_limit(response_header_limit);
            m_parser->skip(m_head_request);
            apply_deadline();
            const io_outcome outcome = await_io([&](auto handler) {
                m_stream.visit(
                    [&](auto& stream) { http::async_read_header(stream, m_buffer, *m_parser, std::move(handler)); });
            });
            if (outcome.failed())
                return to_error("reading the answer's head", outcome.failure);
            if (m_parser->get().result_int() == 101)
                return failure(error_code::protocol_violation, "the server switched protocols");
            if (!is_valid_status(m_parser->get().result_int()))
                return failure(error_code::protocol_violation,
                               "status " + std::to_string(m_parser->get().result_int()) + " is not valid");
        } while (m_parser->get().result_int() < first_final_status);

        const auto& message = m_parser->get();
        http_response_head head;
        head.status = message.result_int();
        for (const auto& field : message)
            head.fields.add({field.name_string().data(), field.name_string().size()},
                            {field.value().data(), field.value().size()});
        if (const auto length = m_parser->content_length())
            head.content_length = *length;
        update_reusable();
        return head;
    }

    result<std::size_t> read_body(std::span<char> buffer) override {
        auto& body = m_parser->get().body();
        body.data = buffer.data();
        body.size = buffer.size();
        while (body.size == buffer.size() && !m_parser->is_done()) {
            apply_deadline();
            const io_outcome outcome = await_io([&](auto handler) {
                m_stream.visit(
                    [&](auto& stream) { http::async_read_some(stream, m_buffer, *m_parser, std::move(handler)); });
            });
            if (outcome.failed() && outcome.failure != http::error::need_buffer)
                return to_error("reading the answer", outcome.failure);
        }
        update_reusable();
        return buffer.size() - body.size;
    }

    bool request_started() const override { return m_request_started; }
    bool reusable() const override { return m_reusable; }

    bool is_stale() override {
        if (!m_stream.is_open() || m_buffer.size() > 0)
            return true;
        char byte = 0;
        const auto received =
            ::recv(m_stream.lowest_layer().socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
    }

    void close() override { m_stream.close(); }

private:
    void apply_deadline() { m_stream.lowest_layer().expires_at(m_deadline); }

    void update_reusable() {
        m_reusable = m_parser->is_done() && m_parser->keep_alive() && m_serializer->is_done() && m_buffer.size() == 0;
    }

    result<void> send(const char* data, std::size_t size, bool more) {
        auto& body = m_request->body();
        body.data = const_cast<char*>(data);
        body.size = size;
        body.more = more;
        m_request_started = true;
        apply_deadline();
        const io_outcome outcome = await_io([&](auto handler) {
            m_stream.visit([&](auto& stream) { http::async_write(stream, *m_serializer, std::move(handler)); });
        });
        if (outcome.failed() && outcome.failure != http::error::need_buffer)
            return to_error("sending the request", outcome.failure);
        return boost::outcome_v2::success();
    }

    http_stream m_stream;
    boost::beast::flat_buffer m_buffer{receive_buffer_limit};
    std::optional<http::request<http::buffer_body>> m_request;
    std::optional<http::request_serializer<http::buffer_body>> m_serializer;
    std::optional<http::response_parser<http::buffer_body>> m_parser;
    time_point m_deadline;
    bool m_head_request = false;
    bool m_request_started = false;
    bool m_reusable = false;
};

} // namespace

result<network_endpoint> parse_endpoint(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return failure(error_code::invalid_argument, std::string(text) + " is not of the form IP:PORT");

    std::string_view address = text.substr(0, colon);
    if (address.size() > 2 && address.front() == '[' && address.back() == ']')
        address = address.substr(1, address.size() - 2);
    boost::system::error_code address_failure;
    static_cast<void>(boost::asio::ip::make_address(std::string(address), address_failure));
    if (address_failure)
        return failure(error_code::invalid_argument, std::string(address) + " is not an IP address");

    const std::string_view digits = text.substr(colon + 1);
    network_endpoint endpoint{std::string(address), 0};
    const auto [end, parse_failure] = std::from_chars(digits.data(), digits.data() + digits.size(), endpoint.port);
    if (parse_failure != std::errc() || end != digits.data() + digits.size())
        return failure(error_code::invalid_argument, std::string(digits) + " is not a port number");
    return endpoint;
}

result<std::string> http_connection::read_whole_body(std::size_t byte_limit) {
    std::string body;
    std::array<char, 16UL * 1024> chunk{};
    for (;;) {
        BOOST_OUTCOME_TRY(const std::size_t size, read_body(chunk));
        if (size == 0)
            return body;
        if (body.size() + size > byte_limit)
            return failure(error_code::protocol_violation,
                           "the answer is larger than " + std::to_string(byte_limit) + " bytes");
        body.append(chunk.data(), size);
    }
}

result<std::unique_ptr<http_connection>> http_connection::connect(fiber_runtime& runtime,
                                                                  const network_endpoint& endpoint, time_point deadline,
                                                                  const http_connection_options& options) {
    boost::system::error_code address_failure;
    const auto address = boost::asio::ip::make_address(endpoint.address, address_failure);
    if (address_failure)
        return failure(error_code::invalid_argument, endpoint.address + " is not an IP address");

    tcp_stream tcp_layer(runtime.io().get_executor());
    tcp_layer.expires_at(deadline);
    const tcp::endpoint target(address, endpoint.port);
    const io_outcome outcome = await_io([&](auto handler) { tcp_layer.async_connect(target, std::move(handler)); });
    if (outcome.failed())
        return to_error("connecting", outcome.failure);
    boost::system::error_code ignored;
    tcp_layer.socket().set_option(tcp::no_delay(true), ignored);

    if (options.dead_peer_timeout.count() > 0)
        set_dead_peer_timeout(tcp_layer.socket().native_handle(), options.dead_peer_timeout);

    const auto& tls = options.tls;
    http_stream stream = tls ? http_stream(std::move(tcp_layer), tls->context()) : http_stream(std::move(tcp_layer));
    stream.lowest_layer().expires_at(deadline);
    if (const io_outcome handshake = stream.handshake(boost::asio::ssl::stream_base::client); handshake.failed())
        return to_error("TLS handshake", handshake.failure);
    return std::unique_ptr<http_connection>(std::make_unique<client_connection>(std::move(stream)));
}

} // namespace ragworthinge
