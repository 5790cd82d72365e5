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
    std::string address; ///< IP number to listen on.
    std::uint16_t port = 0;
    std::size_t header_limit = 16 * 1024; ///< Bytes of request line and headers.
    std::size_t connection_limit = 4000;  ///< Further connections are closed at once.
    duration idle_timeout = std::chrono::seconds(60);
    duration header_timeout = std::chrono::seconds(10);
    duration body_timeout = std::chrono::seconds(30); ///< Longest pause while a body is read or written.
    std::shared_ptr<tls_identity> tls;                ///< Absent for plain TCP.
    /// Whether a request without a body may begin before those ahead of it on its connection are answered. Absent:
    /// none.
    std::function<bool(const http_request_head&)> may_overlap;
    /// Requests of one connection that run at the same time. A caller that sends more ahead is not read meanwhile.
    std::size_t overlap_limit = 8;
    /// Bytes of complete answers that wait for those before them, per connection; beyond that no further request
    /// begins.
    std::size_t overlap_bytes = 256 * 1024;
};

/// Serves HTTP/1.1 with one fiber per connection, and one per request that runs beside others of its connection.
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

    /// Port in use; differs from the options when they ask for port 0.
    virtual std::uint16_t port() const = 0;

    /// Says `Connection: close` in every further answer, so that connections end without cutting a request.
    virtual void start_draining() = 0;

    /// Stops accepting and closes connections that carry no request.
    virtual void close_idle() = 0;

    /// Connections open now.
    virtual std::size_t connection_count() const = 0;

    /// Replaces the limits that apply from the next request on: bytes of a head, idle and header time-outs.
    virtual void set_limits(std::size_t header_limit, duration idle_timeout, duration header_timeout) = 0;

    /// Requests being answered now.
    virtual std::size_t active_requests() const = 0;
};

} // namespace ragworthinge
