#pragma once

#include "base/http_message.h"
#include "base/result.h"
#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace ragworthinge {

class fiber_runtime;
class tls_identity;

/// IP number and port of a server.
struct network_endpoint {
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const network_endpoint&) const = default;
};

/// Splits "IP:PORT" or "[IPV6]:PORT".
result<network_endpoint> parse_endpoint(std::string_view text);

/// Settings of a client's connection.
struct http_connection_options {
    /// Time after which a peer that acknowledges nothing counts as dead; zero leaves it to the system.
    std::chrono::milliseconds dead_peer_limit{0};
    std::shared_ptr<tls_identity> tls; ///< Absent for plain TCP.
};

/// A client's connection that carries one request at a time. All calls block the calling fiber up to the deadline.
/// After any error the connection must be dropped.
class http_connection {
public:
    /// Connects. Errors: unavailable, timeout; no byte of a request was sent.
    static result<std::unique_ptr<http_connection>> connect(fiber_runtime& runtime, const network_endpoint& endpoint,
                                                            time_point deadline,
                                                            const http_connection_options& options = {});

    http_connection() = default;
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;
    virtual ~http_connection() = default;

    /// Starts a request. Nothing is sent before the first body bytes or `finish_request`.
    virtual void begin_request(const http_request_head& head, time_point deadline) = 0;
    virtual result<void> write_body(std::string_view bytes) = 0;
    virtual result<void> finish_request() = 0;

    /// Reads the final status and headers.
    virtual result<http_response_head> read_head() = 0;

    /// Reads body bytes; zero means that the whole answer was received. A truncated answer is an error.
    virtual result<std::size_t> read_body(std::span<char> buffer) = 0;

    /// Reads the rest of the body. Errors: those of `read_body`; protocol_violation if it is longer than the limit.
    result<std::string> read_whole_body(std::size_t byte_limit);

    /// True once a byte of the current request may have left this process.
    virtual bool request_started() const = 0;

    /// True if the last answer was read whole and the server keeps the connection open.
    virtual bool reusable() const = 0;

    /// True if an idle connection was closed or sent unrequested bytes.
    virtual bool is_stale() = 0;

    /// Closes the connection; a blocked call in another fiber returns an error.
    virtual void close() = 0;
};

} // namespace ragworthinge
