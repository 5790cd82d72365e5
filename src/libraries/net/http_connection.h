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

/// IP address and port of a server.
struct network_endpoint {
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const network_endpoint&) const = default;
};

/// Parses "IP:PORT" or "[IPV6]:PORT". Fails with invalid_argument.
result<network_endpoint> parse_endpoint(std::string_view text);

/// Settings of a client connection.
struct http_connection_options {
    /// Time without any acknowledgement after which the peer is considered dead. Zero keeps the operating system's
    /// limits.
    std::chrono::milliseconds dead_peer_timeout{0};
    std::shared_ptr<tls_identity> tls; ///< Null for plain TCP.
};

/// HTTP/1.1 client connection that carries one request at a time. Calls block the calling fiber until the deadline at
/// the latest. After an error the connection must not be used for another request.
class http_connection {
public:
    /// Connects and performs the TLS handshake. On the errors unavailable and timeout no byte of a request was sent.
    static result<std::unique_ptr<http_connection>> connect(fiber_runtime& runtime, const network_endpoint& endpoint,
                                                            time_point deadline,
                                                            const http_connection_options& options = {});

    http_connection() = default;
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;
    virtual ~http_connection() = default;

    /// Prepares a request. The head is sent with the first body bytes or by `finish_request`.
    virtual void begin_request(const http_request_head& head, time_point deadline) = 0;
    virtual result<void> write_body(std::string_view bytes) = 0;
    virtual result<void> finish_request() = 0;

    /// Reads status and headers of the final response; interim responses (1xx) are skipped. Error protocol_violation:
    /// the status is not from 100 to 599, the server switched protocols or sends interim responses without end.
    virtual result<http_response_head> read_head() = 0;

    /// Reads body bytes; zero means that the response is complete. A truncated response is an error.
    virtual result<std::size_t> read_body(std::span<char> buffer) = 0;

    /// Reads the rest of the body. Errors: those of `read_body`, and protocol_violation if the rest exceeds the limit.
    result<std::string> read_whole_body(std::size_t byte_limit);

    /// True once a byte of the current request may have been sent.
    virtual bool request_started() const = 0;

    /// True if the last response was read completely and the server keeps the connection open.
    virtual bool reusable() const = 0;

    /// True if the peer closed this idle connection or sent bytes that belong to no request.
    virtual bool is_stale() = 0;

    /// Closes the connection; a call blocked in another fiber returns an error.
    virtual void close() = 0;
};

} // namespace ragworthinge
