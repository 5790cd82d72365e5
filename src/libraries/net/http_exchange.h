#pragma once

#include "base/http_message.h"
#include "base/result.h"

#include <cstddef>
#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace ragworthinge {

/// One request of a caller and its response. Calls block the calling fiber. After an error the connection is closed and
/// the exchange can only be destroyed.
class http_exchange {
public:
    http_exchange() = default;
    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;
    virtual ~http_exchange() = default;

    virtual const http_request_head& request() const = 0;

    /// IP address of the remote end of the connection.
    virtual const std::string& remote_address() const = 0;

    /// Reads body bytes; zero means that the body is complete.
    virtual result<std::size_t> read_body(std::span<char> buffer) = 0;

    /// Sets status and headers, which are sent with the first body bytes or by `finish`. While `response_started` is
    /// false, a further call replaces them.
    virtual void begin_response(http_response_head head) = 0;

    /// Sends body bytes.
    virtual result<void> write_body(std::string_view bytes) = 0;

    /// Completes the response.
    virtual result<void> finish() = 0;

    /// Closes the connection, so that the caller detects a truncated response instead of a complete, shorter one.
    virtual void abort() = 0;

    /// True once a byte of the response may have reached the caller.
    virtual bool response_started() const = 0;

    /// False once either side has closed the connection.
    virtual bool is_open() const = 0;

    /// Registers a function that is called once if the caller disconnects before the response starts; at once if it has
    /// done so already. Register it after the body was read. The function runs outside any fiber and must not block.
    virtual void watch_disconnect(std::function<void()> on_disconnect) = 0;
};

/// Sends a complete response with the given body.
result<void> respond(http_exchange& exchange, http_response_head head, std::string_view body);

} // namespace ragworthinge
