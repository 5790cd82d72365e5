#include "net/closing_connection.h"

#include <array>
#include <utility>

namespace ragworthinge {

namespace {

constexpr std::size_t read_chunk_bytes = 16UL * 1024;

/// Target of the reads of all closing connections of a thread; nobody looks at the bytes.
std::array<char, read_chunk_bytes>& dropped_bytes() {
    thread_local std::array<char, read_chunk_bytes> bytes;
    return bytes;
}

} // namespace

closing_connection::closing_connection(boost::asio::io_context& io, http_stream stream, closing_options options)
    : m_stream(std::move(stream)), m_timer(io), m_options(options) {}

void closing_connection::start(std::function<void()> on_end) {
    m_on_end = std::move(on_end);
    m_started_at = monotonic_clock::now();
    m_unacknowledged = m_stream.unacknowledged_bytes();
    m_stream.lowest_layer().expires_never();
    read();
    wait();
}

void closing_connection::end() {
    if (std::exchange(m_ended, true))
        return;
    m_timer.cancel();
    m_stream.close();
    m_on_end();
}

void closing_connection::read() {
    // Encrypted bytes are dropped as they are.
    m_stream.lowest_layer().async_read_some(
        boost::asio::buffer(dropped_bytes()),
        [self = shared_from_this()](const boost::system::error_code& failure, std::size_t bytes) {
            if (failure)
                return self->end();
            self->m_dropped_bytes += bytes;
            if (!self->m_ended && self->m_dropped_bytes < self->m_options.max_bytes)
                self->read();
        });
}

void closing_connection::wait() {
    m_timer.expires_after(m_options.quiet_time);
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& failure) {
        if (failure || self->m_ended)
            return;
        if (self->receives_response())
            self->wait();
        else
            self->end();
    });
}

bool closing_connection::receives_response() {
    const std::size_t left = m_stream.unacknowledged_bytes();
    const bool has_progress = left > 0 && left < std::exchange(m_unacknowledged, left);
    return has_progress && monotonic_clock::now() - m_started_at < m_options.limit;
}

} // namespace ragworthinge
