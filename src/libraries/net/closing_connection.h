#pragma once

#include "base/time.h"
#include "net/http_stream.h"

#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <functional>
#include <memory>

// Include only from the sources of this library: the header pulls in Asio and Beast.

namespace ragworthinge {

struct closing_options {
    duration quiet_time;   ///< Ends when the caller acknowledged nothing of the response for this long.
    duration limit;        ///< Longest time in any case.
    std::size_t max_bytes; ///< Bytes that are read and dropped; what exceeds them is not read.
};

/// A connection whose sending direction has ended: reads and drops what the caller still sends until the caller closes,
/// because the kernel resets a connection that is closed with unread bytes, and the response would be lost (RFC 9112,
/// section 9.6). It has no fiber and no buffer of its own, since callers that never close can cause many of them.
class closing_connection : public std::enable_shared_from_this<closing_connection> {
public:
    closing_connection(boost::asio::io_context& io, http_stream stream, closing_options options);

    /// `on_end` is called once, when the connection is closed.
    void start(std::function<void()> on_end);

    /// Closes the connection now.
    void end();

private:
    void read();
    void wait();
    bool receives_response();

    http_stream m_stream;
    boost::asio::steady_timer m_timer;
    closing_options m_options;
    std::function<void()> m_on_end;
    time_point m_started_at;
    std::size_t m_unacknowledged = 0;
    std::size_t m_dropped_bytes = 0;
    bool m_ended = false;
};

} // namespace ragworthinge
