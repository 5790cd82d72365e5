#include "net/http_server_exchange.h"

#include "net/http_server_connection.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <cassert>
#include <utility>

namespace ragworthinge {

namespace {

namespace http = boost::beast::http;

constexpr std::size_t discard_chunk_bytes = 8 * 1024;
constexpr std::size_t discard_limit_bytes = 256 * 1024;
constexpr unsigned http_version_1_1 = 11;

std::string_view to_view(boost::beast::string_view text) noexcept {
    return {text.data(), text.size()};
}

/// False for statuses whose response ends with its head; a transfer coding there is malformed (RFC 9112, section 6.1).
bool may_have_body(unsigned status) noexcept {
    return status != 204 && status != 304;
}

} // namespace

const std::string& http_server_exchange::remote_address() const {
    return m_connection.remote_address();
}

bool http_server_exchange::is_open() const {
    return m_connection.is_open();
}

void http_server_exchange::abort() {
    m_connection.abort();
}

void http_server_exchange::load_request_head() {
    const auto& message = m_parser.get();
    m_request.method = to_view(message.method_string());
    m_request.target = to_view(message.target());
    m_request.fields.entries().reserve(8);
    for (const auto& field : message)
        m_request.fields.add(to_view(field.name_string()), to_view(field.value()));
    m_request.has_body = !m_parser.is_done();
    if (const auto length = m_parser.content_length())
        m_request.content_length = *length;

    const auto expectation = m_request.fields.find("Expect");
    m_continue_expected = expectation && equal_field_names(*expectation, "100-continue");
}

result<void> http_server_exchange::send_continue() {
    static constexpr std::string_view text = "HTTP/1.1 100 Continue\r\n\r\n";
    m_continue_expected = false;
    m_connection.set_write_timeout();
    const io_outcome outcome = await_io([&](auto handler) {
        m_connection.stream().visit([&](auto& stream) {
            boost::asio::async_write(stream, boost::asio::buffer(text.data(), text.size()), std::move(handler));
        });
    });
    if (outcome.failed())
        return failure(error_code::unavailable, outcome.failure.message());
    return boost::outcome_v2::success();
}

result<std::size_t> http_server_exchange::read_body(std::span<char> buffer) {
    if (m_parser.is_done())
        return std::size_t{0};
    if (m_continue_expected) {
        BOOST_OUTCOME_TRYV(send_continue());
    }
    auto& body = m_parser.get().body();
    body.data = buffer.data();
    body.size = buffer.size();
    while (body.size == buffer.size() && !m_parser.is_done()) {
        switch (m_connection.parse_more(m_parser)) {
        case http_server_connection::parse_status::progressed:
            break;
        case http_server_connection::parse_status::malformed:
            if (!m_response_started) {
                // Bytes after the malformed part can't be attributed to a request, so the connection closes. The
                // response does not state whether the request ran: a handler may have forwarded part of the body.
                http_response_head head{.status = 400, .fields = {}, .content_length = {}};
                head.fields.add("Connection", "close");
                static_cast<void>(respond(*this, std::move(head), "malformed request body\n"));
            }
            if (m_response_finished)
                m_connection.close_behind_response();
            else
                abort();
            return failure(error_code::protocol_violation, "request body is malformed");
        case http_server_connection::parse_status::ended:
            abort();
            return failure(error_code::protocol_violation,
                           "request body is incomplete: the connection ended or timed out");
        }
    }
    return buffer.size() - body.size;
}

bool http_server_exchange::discard_rest_of_body() {
    std::array<char, discard_chunk_bytes> scratch{};
    std::size_t discarded = 0;
    while (!m_parser.is_done()) {
        if (m_continue_expected || discarded > discard_limit_bytes)
            return false;
        const auto read = read_body(scratch);
        if (!read)
            return false;
        discarded += read.value();
    }
    return true;
}

void http_server_exchange::watch_disconnect(std::function<void()> on_disconnect) {
    m_on_disconnect = std::move(on_disconnect);
    m_connection.read_ahead();
    // A host that reads a request late finds the end of its connection behind it. The read reports that end only after
    // the handler has had the time to start work for the request.
    if (m_connection.has_caller_left())
        notify_disconnect();
}

void http_server_exchange::notify_disconnect() {
    if (const auto on_disconnect = std::exchange(m_on_disconnect, nullptr))
        on_disconnect();
}

void http_server_exchange::begin_response(http_response_head head) {
    assert(!m_response_started);
    stop_watching();
    m_head = std::move(head);
    m_response.reset();
    m_serializer.reset();
}

void http_server_exchange::make_response() {
    m_response.emplace();
    m_response->version(http_version_1_1);
    m_response->result(m_head.status);
    bool closes_connection = false;
    for (const http_field& field : m_head.fields.entries()) {
        m_response->insert(field.name, field.value);
        closes_connection =
            closes_connection || (equal_field_names(field.name, "Connection") && field.value == "close");
    }
    m_response->keep_alive(!closes_connection && m_connection.stays_open_after(*this));
    if (m_head.content_length)
        m_response->content_length(*m_head.content_length);
    else if (may_have_body(m_head.status))
        m_response->chunked(true);
    m_response->body().data = nullptr;
    m_response->body().size = 0;
    m_response->body().more = true;
    m_serializer.emplace(*m_response);
}

void http_server_exchange::release_response() {
    if (m_earlier_responses_done)
        m_earlier_responses_done->set();
}

bool http_server_exchange::wait_for_earlier_responses(std::size_t queued_bytes) {
    if (m_connection.is_open() && !m_connection.is_first_in_queue(*this)) {
        m_connection.add_queued_response_bytes(queued_bytes);
        m_earlier_responses_done.emplace();
        m_earlier_responses_done->wait();
        m_earlier_responses_done.reset();
        m_connection.remove_queued_response_bytes(queued_bytes);
    }
    if (!m_connection.is_open())
        return false;
    if (!m_response)
        make_response();
    return true;
}

result<void> http_server_exchange::send(const char* data, std::size_t size, bool more) {
    auto& body = m_response->body();
    body.data = const_cast<char*>(data);
    body.size = size;
    body.more = more;
    m_response_started = true;
    m_connection.set_write_timeout();
    const io_outcome outcome = await_io([&](auto handler) {
        m_connection.stream().visit(
            [&](auto& stream) { http::async_write(stream, *m_serializer, std::move(handler)); });
    });
    if (outcome.failed() && outcome.failure != http::error::need_buffer) {
        abort();
        return failure(error_code::unavailable, "sending the response: " + outcome.failure.message());
    }
    return boost::outcome_v2::success();
}

result<void> http_server_exchange::write_body(std::string_view bytes) {
    if (!wait_for_earlier_responses(bytes.size()))
        return failure(error_code::unavailable, "the connection is closed");
    if (bytes.empty() || m_request.method == "HEAD")
        return boost::outcome_v2::success();
    return send(bytes.data(), bytes.size(), true);
}

result<void> http_server_exchange::finish() {
    if (!wait_for_earlier_responses(0))
        return failure(error_code::unavailable, "the connection is closed");
    if (m_request.method == "HEAD") {
        m_response_started = true;
        m_serializer->split(true);
        m_connection.set_write_timeout();
        const io_outcome outcome = await_io([&](auto handler) {
            m_connection.stream().visit(
                [&](auto& stream) { http::async_write_header(stream, *m_serializer, std::move(handler)); });
        });
        if (outcome.failed()) {
            abort();
            return failure(error_code::unavailable, outcome.failure.message());
        }
    } else if (!m_serializer->is_done()) {
        BOOST_OUTCOME_TRYV(send(nullptr, 0, false));
    }
    m_response_finished = true;
    return boost::outcome_v2::success();
}

} // namespace ragworthinge
