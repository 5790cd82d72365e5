#pragma once

#include "base/result.h"
#include "base/time.h"
#include "net/http_exchange.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace ragworthinge {

class fiber_runtime;
class tls_identity;

/// Settings of one listener.
struct http_server_options {
    std::string address; ///< IP address to listen on.
    std::uint16_t port = 0;
    std::size_t header_limit = 16 * 1024; ///< Maximum size of request line and headers in bytes.
    std::size_t connection_limit = 4000;  ///< Connections above this number are closed immediately.
    duration idle_timeout = std::chrono::seconds(60);
    duration header_timeout = std::chrono::seconds(10);
    duration body_timeout =
        std::chrono::seconds(30);      ///< Maximum time without progress while a body is read or written.
    std::shared_ptr<tls_identity> tls; ///< Null for plain TCP.
    /// Decides whether a pipelined request without a body may start before the requests ahead of it on its connection
    /// are answered. If not set, requests of a connection run one after another.
    std::function<bool(const http_request_head&)> may_run_concurrently;
    /// Maximum number of requests of one connection that run concurrently. While that many run, no further
    /// request starts, and only a bounded amount of what the caller sends ahead is read.
    std::size_t max_concurrent_requests = 8;
    /// Bytes of responses per connection that may wait for earlier responses; while more wait, no further request
    /// starts.
    std::size_t max_queued_response_bytes = 256 * 1024;
    /// A connection that closes behind a response still reads and drops what the caller sends, because the kernel
    /// resets a connection that is closed with unread bytes, and the response would be lost. It ends when the caller
    /// closes, or when the caller acknowledged nothing of the response for this long.
    duration closing_time = std::chrono::seconds(1);
    duration closing_time_while_draining = std::chrono::milliseconds(500); ///< Instead of `closing_time`.
    duration closing_limit = std::chrono::seconds(10);                     ///< Longest time in any case.
    /// Bytes that are dropped; what exceeds them is not read. A link of 10 Mbit/s carries a third of them in a second.
    std::size_t max_dropped_bytes = 4UL * 1024 * 1024;
};

/// HTTP/1.1 server with one fiber per connection, plus one per request that runs concurrently with others of its
/// connection.
class http_server {
public:
    using handler = std::function<void(http_exchange&)>;

    /// Opens the listener and starts accepting. Errors: invalid_argument (bad address), unavailable (port in use).
    static result<std::unique_ptr<http_server>> listen(fiber_runtime& runtime, http_server_options options,
                                                       handler on_request);

    http_server() = default;
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    virtual ~http_server() = default;

    /// Port on which the server listens; chosen by the operating system if the options specify port 0.
    virtual std::uint16_t port() const = 0;

    /// From now on each connection closes after the responses to its requests in progress: the last one carries
    /// `Connection: close`, so that no request is interrupted.
    virtual void start_draining() = 0;

    /// Stops accepting connections and closes those without a request in progress.
    virtual void close_idle() = 0;

    /// Number of open connections, except those that close behind a response.
    virtual std::size_t connection_count() const = 0;

    /// Number of connections that close behind a response and wait for their callers to close. They count towards
    /// `connection_limit`; at the limit a new connection replaces one of them.
    virtual std::size_t closing_connections() const = 0;

    /// Sets the limits that apply from the next request on: head size in bytes, idle and header timeouts.
    virtual void set_limits(std::size_t header_limit, duration idle_timeout, duration header_timeout) = 0;

    /// Number of requests in progress.
    virtual std::size_t active_requests() const = 0;

    /// Number of connections without a request in progress on which a part of a request head has arrived.
    virtual std::size_t partly_received_requests() const = 0;
};

} // namespace ragworthinge
