#pragma once

#include "net/http_server.h"
#include "net/http_server_exchange.h"
#include "net/http_stream.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>

// Include only from the sources of this library: the header pulls in Beast.

namespace ragworthinge {

class fiber_runtime;

/// One accepted connection. Its fiber reads request heads and runs the requests one after another. Requests that
/// `http_server_options::may_run_concurrently` permits run in fibers of their own, concurrently with the earlier ones.
class http_server_connection {
public:
    http_server_connection(fiber_runtime& runtime, http_stream stream, std::string remote_address,
                           const http_server_options& options);
    http_server_connection(const http_server_connection&) = delete;
    http_server_connection& operator=(const http_server_connection&) = delete;
    ~http_server_connection() = default;

    /// Serves requests until the connection ends. `active` counts the requests in progress of the whole server.
    void serve(const http_server::handler& on_request, std::size_t& active, const bool& draining);

    /// True if a part of a request head has arrived and no request is in progress.
    bool is_receiving_head() const noexcept { return m_open && m_exchanges.empty() && m_buffer.size() > 0; }

    /// True once the sending direction has ended behind a response. When `serve` has returned, the stream can be taken
    /// to drop what the caller still sends.
    bool is_closing() const noexcept { return m_is_closing; }
    http_stream take_stream() { return std::move(m_stream); }

    /// Closes the connection unless a request is in progress or was partly received.
    void close_if_idle();

    // The following members are called by the exchanges of this connection.

    enum class parse_status {
        progressed,
        malformed,
        ended, ///< The connection ended, or nothing was received within the body timeout.
    };

    const std::string& remote_address() const noexcept { return m_remote_address; }
    http_stream& stream() noexcept { return m_stream; }
    bool is_open() const noexcept { return m_open; }
    void abort();

    /// Closes the connection behind a complete response so that the response is not lost: no further response is sent,
    /// and what the caller still sends is dropped.
    void close_behind_response();

    /// Feeds received bytes to the parser; waits for more if there are none.
    parse_status parse_more(http_server_exchange::request_parser& parser);

    /// Reads from the connection while a request is in progress, up to a limit, so that a disconnect is detected.
    void read_ahead();

    /// Whether the caller has ended the connection, also if that has not been read yet.
    bool has_caller_left() noexcept { return !m_open || m_input_ended || m_stream.has_peer_ended(); }

    /// True if all earlier requests of the connection are answered.
    bool is_first_in_queue(const http_server_exchange& exchange) const noexcept;

    /// True if the connection stays open after the response to this exchange, which must be the first in the queue.
    /// Otherwise no further request starts.
    bool stays_open_after(http_server_exchange& exchange);

    void set_write_timeout() { m_stream.expires_after(m_options.body_timeout); }
    void add_queued_response_bytes(std::size_t bytes) noexcept { m_queued_response_bytes += bytes; }
    void remove_queued_response_bytes(std::size_t bytes) noexcept { m_queued_response_bytes -= bytes; }

private:
    /// Status and reason with which an unacceptable request head is rejected.
    struct head_rejection {
        unsigned status;
        std::string reason;
    };

    void serve_requests(const http_server::handler& on_request, std::size_t& active);
    bool wait_for_head();
    std::optional<head_rejection> check_buffered_head() const;
    bool can_check_head() const;
    std::optional<head_rejection> parse_head(http_server_exchange& exchange);
    bool may_run_concurrently(http_server_exchange& exchange) const;
    void run(http_server_exchange& exchange, const http_server::handler& on_request, std::size_t& active);
    void run_concurrently(http_server_exchange& exchange, const http_server::handler& on_request, std::size_t& active);
    void reject(const head_rejection& rejection);

    /// Suspends the connection's fiber until `wake` is called; false if the given time passed first.
    bool wait(duration time);
    void wake() { m_timer.cancel(); }
    void wait_until_answered();
    void start_read();
    void close_when_idle();
    void end_exchanges();
    void on_read_completed(const boost::system::error_code& failure, std::size_t bytes);
    void end_exchange(http_server_exchange& exchange);
    std::size_t read_limit() const noexcept;

    fiber_runtime& m_runtime;
    http_stream m_stream;
    std::string m_remote_address;
    const http_server_options& m_options;
    boost::beast::flat_buffer m_buffer;    ///< Received bytes that were not yet parsed.
    std::unique_ptr<char[]> m_read_buffer; ///< Target of the pending read; allocated at the first read.
    boost::asio::steady_timer m_timer;     ///< Only the connection's own fiber waits for this timer.
    std::deque<std::unique_ptr<http_server_exchange>> m_exchanges; ///< In the order in which the responses are sent.
    std::size_t m_queued_response_bytes = 0; ///< Bytes of responses that wait for earlier responses.
    bool m_is_reading = false;
    bool m_input_ended = false;
    bool m_open = true; ///< False once no further response can be sent.
    bool m_is_closing = false;
    bool m_accepts_requests = true; ///< False once a request or a response specified that the connection closes.
    const bool* m_draining = nullptr;
};

} // namespace ragworthinge
