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

// Private to the module's sources, since it pulls in Beast.

namespace ragworthinge {

class fiber_runtime;

/// One accepted connection. Its fiber reads heads and runs the requests one after another; those that the listener's
/// `may_overlap` allows run in fibers of their own, so that a later one begins before the first is answered.
class http_server_connection {
public:
    http_server_connection(fiber_runtime& runtime, http_stream stream, std::string remote_address,
                           const http_server_options& options);
    http_server_connection(const http_server_connection&) = delete;
    http_server_connection& operator=(const http_server_connection&) = delete;
    ~http_server_connection() = default;

    /// Serves requests until the connection ends. `active` counts requests being answered.
    void serve(const http_server::handler& on_request, std::size_t& active, const bool& draining);

    /// Closes the connection if it carries no request, not even a part of one.
    void close_if_idle();

    // For the exchanges.

    enum class parsing {
        progressed,
        malformed,
        ended, ///< The connection ended or was silent for too long.
    };

    const std::string& remote_address() const noexcept { return m_remote_address; }
    http_stream& stream() noexcept { return m_stream; }
    bool is_open() const noexcept { return m_open; }
    void abort();

    /// Gives a parser bytes of the caller; waits for some if there are none.
    parsing parse_more(http_server_exchange::request_parser& parser);

    /// Reads what the caller sends meanwhile, up to a limit, so that the end of the connection is noticed.
    void read_ahead();

    /// Whether the exchange is the first that has no complete answer.
    bool is_next(const http_server_exchange& exchange) const noexcept;

    /// Whether the connection can carry another request after this exchange, the first in the queue. If not, no further
    /// one begins.
    bool stays_open_after(http_server_exchange& exchange);

    void limit_write() { m_stream.expires_after(m_options.body_timeout); }
    void add_waiting_bytes(std::size_t bytes) noexcept { m_waiting_bytes += bytes; }
    void remove_waiting_bytes(std::size_t bytes) noexcept { m_waiting_bytes -= bytes; }

private:
    /// A head that can't be accepted.
    struct head_refusal {
        unsigned status;
        std::string reason;
    };

    void serve_requests(const http_server::handler& on_request, std::size_t& active);
    bool wait_for_head();
    std::optional<head_refusal> check_buffer() const;
    bool holds_head() const;
    std::optional<head_refusal> parse_head(http_server_exchange& exchange);
    bool may_overlap(http_server_exchange& exchange) const;
    void run(http_server_exchange& exchange, const http_server::handler& on_request, std::size_t& active);
    void begin_overlapping(http_server_exchange& exchange, const http_server::handler& on_request, std::size_t& active);
    void reject(const head_refusal& refusal);

    /// Suspends the connection's fiber until `wake` or for the time; false if the time passed.
    bool wait(duration time);
    void wake() { m_timer.cancel(); }
    void wait_until_answered();
    void take_input(const boost::system::error_code& failure, std::size_t bytes);
    void end_exchange(http_server_exchange& exchange);
    std::size_t read_limit() const noexcept;

    fiber_runtime& m_runtime;
    http_stream m_stream;
    std::string m_remote_address;
    const http_server_options& m_options;
    boost::beast::flat_buffer m_buffer;                            ///< Received and not used up.
    std::unique_ptr<char[]> m_chunk;                               ///< Receives; present once something was read.
    boost::asio::steady_timer m_timer;                             ///< Only the connection's own fiber waits for it.
    std::deque<std::unique_ptr<http_server_exchange>> m_exchanges; ///< In the order of the answers.
    std::size_t m_waiting_bytes = 0;                               ///< Of answers that wait for those before them.
    bool m_is_reading = false;
    bool m_input_ended = false;
    bool m_open = true;
    bool m_takes_requests = true; ///< False once an answer or a request ends the connection.
    const bool* m_draining = nullptr;
};

} // namespace ragworthinge
