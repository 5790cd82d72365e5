#pragma once

#include "net/fiber_event.h"
#include "net/http_exchange.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

// Include only from the sources of this library: the header pulls in Beast.

namespace ragworthinge {

class http_server_connection;

/// One request of an accepted connection and its response. Several exchanges of a connection may be in progress at the
/// same time; their responses are sent in the order of the requests.
class http_server_exchange final : public http_exchange {
public:
    using request_parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;

    /// The connection outlives its exchanges.
    explicit http_server_exchange(http_server_connection& connection) : m_connection(connection) {}

    const http_request_head& request() const override { return m_request; }
    const std::string& remote_address() const override;
    result<std::size_t> read_body(std::span<char> buffer) override;
    void begin_response(http_response_head head) override;
    result<void> write_body(std::string_view bytes) override;
    result<void> finish() override;
    void abort() override;
    bool response_started() const override { return m_response_started; }
    bool is_open() const override;
    void watch_disconnect(std::function<void()> on_disconnect) override;

    request_parser& parser() noexcept { return m_parser; }

    /// Copies the parsed head into the request.
    void load_request_head();

    /// Tells the handler that the caller disconnected.
    void notify_disconnect();

    /// Drops the disconnect callback: the response has begun or the handler has returned.
    void stop_watching() noexcept { m_on_disconnect = nullptr; }

    /// Lets the response be sent now; it fails instead if the connection was closed.
    void release_response();

    bool response_finished() const noexcept { return m_response_finished; }
    bool keeps_connection() const noexcept { return m_response && m_response->keep_alive(); }

    /// Reads the rest of the body so that the next request can be parsed. False if the body can't be read, or if
    /// closing the connection is cheaper: the caller still waits for 100 (Continue), or the rest is too long.
    bool discard_rest_of_body();

private:
    using response_message = boost::beast::http::response<boost::beast::http::buffer_body>;
    using response_serializer = boost::beast::http::response_serializer<boost::beast::http::buffer_body>;

    bool wait_for_earlier_responses(std::size_t queued_bytes);
    void make_response();
    result<void> send_continue();
    result<void> send(const char* data, std::size_t size, bool more);

    http_server_connection& m_connection;
    request_parser m_parser;
    http_request_head m_request;
    http_response_head m_head;
    std::optional<response_message> m_response;
    std::optional<response_serializer> m_serializer;
    std::optional<fiber_event> m_earlier_responses_done; ///< Present while this response waits for earlier ones.
    std::function<void()> m_on_disconnect;
    bool m_continue_expected = false;
    bool m_response_started = false;
    bool m_response_finished = false;
};

} // namespace ragworthinge
