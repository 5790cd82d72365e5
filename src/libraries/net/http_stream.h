#pragma once

#include "base/time.h"
#include "net/await_io.h"
#include "net/tls_identity.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/beast/core/basic_stream.hpp>

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>

#include <cstddef>
#include <memory>
#include <utility>

// Include only from the sources of this library: the header pulls in Asio and Beast.

namespace ragworthinge {

using tcp_stream = boost::beast::basic_stream<boost::asio::ip::tcp, boost::asio::io_context::executor_type>;
using tls_stream = boost::asio::ssl::stream<tcp_stream>;

/// A plain or TLS-encrypted TCP stream. `handshake` suspends the calling fiber.
class http_stream {
public:
    explicit http_stream(tcp_stream tcp) : m_tcp(std::make_unique<tcp_stream>(std::move(tcp))) {}
    http_stream(tcp_stream tcp, std::shared_ptr<boost::asio::ssl::context> context)
        : m_context(std::move(context)), m_tls(std::make_unique<tls_stream>(std::move(tcp), *m_context)) {}

    tcp_stream& lowest_layer() noexcept { return m_tls ? m_tls->next_layer() : *m_tcp; }
    tls_stream* tls() noexcept { return m_tls.get(); }

    /// Sets the timeout of the following operation.
    void expires_after(duration time) { lowest_layer().expires_after(time); }

    /// Calls the function with the TLS stream if there is one, otherwise with the TCP stream.
    template <class Function>
    void visit(Function&& function) {
        if (m_tls)
            function(*m_tls);
        else
            function(*m_tcp);
    }

    io_outcome handshake(boost::asio::ssl::stream_base::handshake_type type) {
        if (!m_tls)
            return {};
        return await_io([&](auto handler) { m_tls->async_handshake(type, std::move(handler)); });
    }

    void close() noexcept {
        boost::system::error_code ignored;
        lowest_layer().socket().shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
        lowest_layer().close();
    }

    /// Ends the sending direction: the peer receives what was sent and then the end of the stream.
    void shutdown_send() noexcept {
        boost::system::error_code ignored;
        lowest_layer().socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    }

    /// Bytes that were sent and that the peer has not acknowledged.
    std::size_t unacknowledged_bytes() noexcept {
        int bytes = 0;
        if (!is_open() || ::ioctl(lowest_layer().socket().native_handle(), SIOCOUTQ, &bytes) != 0)
            return 0;
        return static_cast<std::size_t>(bytes);
    }

    /// Whether the peer has ended its sending direction or reset the connection, also behind bytes that were not read
    /// yet.
    bool has_peer_ended() noexcept {
        pollfd state{.fd = lowest_layer().socket().native_handle(), .events = POLLRDHUP, .revents = 0};
        return !is_open() || (::poll(&state, 1, 0) == 1 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0);
    }

    bool is_open() noexcept { return lowest_layer().socket().is_open(); }

private:
    std::shared_ptr<boost::asio::ssl::context> m_context;
    std::unique_ptr<tcp_stream> m_tcp;
    std::unique_ptr<tls_stream> m_tls;
};

} // namespace ragworthinge
