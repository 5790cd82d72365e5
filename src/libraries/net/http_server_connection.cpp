#include "net/http_server_connection.h"

#include "net/fiber_runtime.h"
#include "net/http_head_rules.h"

#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <cassert>
#include <string_view>
#include <utility>

namespace ragworthinge {

namespace {

namespace http = boost::beast::http;

/// Size of the separate buffer for pending reads: bytes received earlier may be consumed from the parse buffer while a
/// read is pending. Most request heads fit into it.
constexpr std::size_t read_buffer_bytes = 4 * 1024;
constexpr unsigned http_version_1_1 = 11;

} // namespace

http_server_connection::http_server_connection(fiber_runtime& runtime, http_stream stream, std::string remote_address,
                                               const http_server_options& options)
    : m_runtime(runtime), m_stream(std::move(stream)), m_remote_address(std::move(remote_address)), m_options(options),
      m_timer(runtime.io()) {}

void http_server_connection::serve(const http_server::handler& on_request, std::size_t& active, const bool& draining) {
    m_draining = &draining;
    m_stream.expires_after(m_options.header_timeout);
    if (m_stream.handshake(boost::asio::ssl::stream_base::server).failed())
        abort();
    else
        serve_requests(on_request, active);

    wait_until_answered();
    close_when_idle();
    if (m_is_closing)
        m_stream.lowest_layer().cancel();
    // The fibers of exchanges and the pending read refer to this object, so it must outlive them.
    while (!m_exchanges.empty() || m_is_reading)
        wait(duration::max());
}

void http_server_connection::serve_requests(const http_server::handler& on_request, std::size_t& active) {
    while (m_accepts_requests && wait_for_head()) {
        // The error response to a rejected head is sent after the responses to earlier requests.
        if (const auto rejection = check_buffered_head()) {
            wait_until_answered();
            return reject(*rejection);
        }
        auto exchange = std::make_unique<http_server_exchange>(*this);
        if (const auto rejection = parse_head(*exchange)) {
            wait_until_answered();
            return reject(*rejection);
        }
        const bool is_last = !exchange->parser().keep_alive();
        const bool is_concurrent = may_run_concurrently(*exchange);
        if (!is_concurrent)
            wait_until_answered();
        // An earlier response may have closed the connection during the wait; this request is then treated as not read.
        if (!m_open || !m_accepts_requests)
            return;
        m_accepts_requests = !is_last;
        http_server_exchange& started_exchange = *m_exchanges.emplace_back(std::move(exchange));
        if (is_concurrent)
            run_concurrently(started_exchange, on_request, active);
        else
            run(started_exchange, on_request, active);
    }
}

bool http_server_connection::may_run_concurrently(http_server_exchange& exchange) const {
    return m_options.may_run_concurrently && exchange.parser().is_done() &&
           m_options.may_run_concurrently(exchange.request());
}

void http_server_connection::run_concurrently(http_server_exchange& exchange, const http_server::handler& on_request,
                                              std::size_t& active) {
    m_runtime.spawn([this, &exchange, &on_request, &active] { run(exchange, on_request, active); });
}

void http_server_connection::run(http_server_exchange& exchange, const http_server::handler& on_request,
                                 std::size_t& active) {
    ++active;
    on_request(exchange);
    exchange.stop_watching();
    --active;
    if (!exchange.response_finished())
        abort();
    else if (exchange.keeps_connection() && !exchange.discard_rest_of_body())
        close_behind_response();
    end_exchange(exchange);
}

void http_server_connection::end_exchange(http_server_exchange& exchange) {
    const auto ended =
        std::find_if(m_exchanges.begin(), m_exchanges.end(), [&](const auto& one) { return one.get() == &exchange; });
    assert(ended != m_exchanges.end());
    const bool closes = exchange.response_finished() && !exchange.keeps_connection();
    m_exchanges.erase(ended);
    if (closes)
        close_behind_response();
    if (!m_exchanges.empty())
        m_exchanges.front()->release_response();
    wake();
}

bool http_server_connection::is_first_in_queue(const http_server_exchange& exchange) const noexcept {
    return m_exchanges.front().get() == &exchange;
}

bool http_server_connection::stays_open_after(http_server_exchange& exchange) {
    // If the head was rejected before parsing, the parser cannot tell whether the caller keeps the connection open.
    const bool caller_keeps_alive = exchange.parser().is_header_done() && exchange.parser().keep_alive();
    // While draining, later requests that have already started are still answered before the connection closes.
    const bool is_last = m_exchanges.size() == 1;
    if (caller_keeps_alive && !(*m_draining && is_last))
        return true;
    m_accepts_requests = false;
    return false;
}

void http_server_connection::close_if_idle() {
    if (m_exchanges.empty() && m_buffer.size() == 0)
        close_when_idle();
}

void http_server_connection::close_when_idle() {
    // Only an earlier response that is still on its way to the caller can be lost.
    if (m_open && !m_input_ended && m_stream.unacknowledged_bytes() > 0)
        close_behind_response();
    else
        abort();
}

void http_server_connection::abort() {
    if (!m_open)
        return;
    m_open = false;
    m_stream.close();
    wake();
    end_exchanges();
}

void http_server_connection::close_behind_response() {
    if (!m_open)
        return;
    m_open = false;
    m_is_closing = true;
    m_stream.shutdown_send();
    wake();
    end_exchanges();
}

void http_server_connection::end_exchanges() {
    // Notifies handlers that are still running, since their responses can no longer be delivered.
    for (std::size_t index = 0; index < m_exchanges.size(); ++index) {
        m_exchanges[index]->notify_disconnect();
        m_exchanges[index]->release_response();
    }
}

bool http_server_connection::wait(duration time) {
    const io_outcome outcome = await_io([&](auto handler) {
        if (time == duration::max())
            m_timer.expires_at(boost::asio::steady_timer::time_point::max());
        else
            m_timer.expires_after(time);
        m_timer.async_wait(std::move(handler));
    });
    return outcome.failed();
}

void http_server_connection::wait_until_answered() {
    while (m_open && !m_exchanges.empty()) {
        read_ahead();
        wait(duration::max());
    }
}

std::size_t http_server_connection::read_limit() const noexcept {
    return m_options.header_limit + read_buffer_bytes;
}

void http_server_connection::read_ahead() {
    if (m_is_reading || m_input_ended || !m_open || m_buffer.size() >= read_limit())
        return;
    start_read();
}

void http_server_connection::start_read() {
    m_is_reading = true;
    // The fiber enforces the time limits of reads, because a read may start during a request and complete after it.
    m_stream.lowest_layer().expires_never();
    if (m_read_buffer == nullptr)
        m_read_buffer = std::make_unique<char[]>(read_buffer_bytes);
    const auto space = boost::asio::buffer(m_read_buffer.get(), read_buffer_bytes);
    m_stream.visit([&](auto& stream) {
        stream.async_read_some(space, [this](const boost::system::error_code& failure, std::size_t bytes) {
            on_read_completed(failure, bytes);
        });
    });
}

void http_server_connection::on_read_completed(const boost::system::error_code& failure, std::size_t bytes) {
    m_is_reading = false;
    wake();
    if (!m_open)
        return;
    m_buffer.commit(boost::asio::buffer_copy(m_buffer.prepare(bytes), boost::asio::buffer(m_read_buffer.get(), bytes)));
    if (!failure) {
        // While a request handler occupies the connection's fiber, the next read is started here.
        if (!m_exchanges.empty())
            read_ahead();
        return;
    }
    m_input_ended = true;
    for (std::size_t index = 0; index < m_exchanges.size(); ++index)
        m_exchanges[index]->notify_disconnect();
}

bool http_server_connection::can_check_head() const {
    const auto data = m_buffer.cdata();
    const std::string_view text(static_cast<const char*>(data.data()), data.size());
    return check_raw_head(text) != raw_head_state::incomplete || text.size() >= m_options.header_limit;
}

bool http_server_connection::wait_for_head() {
    constexpr time_point no_deadline = time_point::max();
    time_point head_deadline = no_deadline;
    // No request starts after the end of the input, because the caller no longer waits for responses.
    while (m_open && m_accepts_requests && !m_input_ended) {
        const bool has_room = m_exchanges.size() < m_options.max_concurrent_requests &&
                              m_queued_response_bytes <= m_options.max_queued_response_bytes;
        // A draining server finishes the requests in progress and accepts another one only on a connection without any.
        const bool may_begin = m_exchanges.empty() || (has_room && !*m_draining);
        if (may_begin && can_check_head())
            return true;
        read_ahead();
        if (!m_exchanges.empty()) {
            wait(duration::max());
            continue;
        }
        const time_point now = monotonic_clock::now();
        const bool is_idle = m_buffer.size() == 0;
        if (is_idle)
            head_deadline = no_deadline;
        else if (head_deadline == no_deadline)
            head_deadline = now + m_options.header_timeout;
        const bool was_woken = wait(is_idle ? m_options.idle_timeout : std::max(head_deadline - now, duration::zero()));
        // If bytes arrived just as the idle timeout expired, the connection is served.
        if (!was_woken && (!is_idle || m_buffer.size() == 0))
            return false;
    }
    return false;
}

std::optional<http_server_connection::head_rejection> http_server_connection::check_buffered_head() const {
    const auto data = m_buffer.cdata();
    switch (check_raw_head({static_cast<const char*>(data.data()), data.size()})) {
    case raw_head_state::complete:
        return std::nullopt;
    case raw_head_state::malformed:
        return head_rejection{400, "malformed request head"};
    case raw_head_state::incomplete:
        break;
    }
    return head_rejection{431, "request head too large"};
}

std::optional<http_server_connection::head_rejection>
http_server_connection::parse_head(http_server_exchange& exchange) {
    auto& parser = exchange.parser();
    parser.body_limit(boost::none);
    parser.header_limit(static_cast<std::uint32_t>(m_options.header_limit + read_buffer_bytes));
    boost::system::error_code failure;
    const std::size_t used = parser.put(m_buffer.data(), failure);
    m_buffer.consume(used);
    if (failure && failure != http::error::need_buffer)
        return head_rejection{failure == http::error::header_limit ? 431U : 400U, failure.message()};
    assert(parser.is_header_done());

    exchange.load_request_head();
    const http_request_head& request = exchange.request();
    if (request.method == "CONNECT" || parser.upgrade())
        return head_rejection{400, "CONNECT and Upgrade are not supported"};
    const auto coding = request.fields.find("Transfer-Encoding");
    if (coding && (!equal_field_names(*coding, "chunked") || parser.get().version() != http_version_1_1)) {
        // Beast treats a body with an unknown transfer coding as absent, so its bytes would be parsed as the next
        // request.
        return head_rejection{400, "transfer coding is not supported"};
    }
    const auto hosts = parser.get().count(http::field::host);
    if (hosts > 1 || (hosts == 0 && parser.get().version() == http_version_1_1))
        return head_rejection{400, hosts == 0 ? "Host is missing" : "more than one Host field"};
    return std::nullopt;
}

http_server_connection::parse_status http_server_connection::parse_more(http_server_exchange::request_parser& parser) {
    for (;;) {
        if (m_buffer.size() > 0) {
            boost::system::error_code failure;
            const std::size_t used = parser.put(m_buffer.data(), failure);
            m_buffer.consume(used);
            if (failure && failure != http::error::need_more && failure != http::error::need_buffer)
                return parse_status::malformed;
            if (used > 0 || failure != http::error::need_more)
                return parse_status::progressed;
            // Bounds chunk extensions, for which the parser has no limit.
            if (m_buffer.size() >= read_limit())
                return parse_status::malformed;
        }
        if (!m_open || m_input_ended)
            return parse_status::ended;
        const std::size_t held = m_buffer.size();
        read_ahead();
        const time_point deadline = monotonic_clock::now() + m_options.body_timeout;
        while (m_open && !m_input_ended && m_buffer.size() == held) {
            const duration left = deadline - monotonic_clock::now();
            if (left <= duration::zero() || !wait(left))
                return parse_status::ended;
        }
    }
}

void http_server_connection::reject(const head_rejection& rejection) {
    if (!m_open)
        return;
    http_server_exchange& exchange = *m_exchanges.emplace_back(std::make_unique<http_server_exchange>(*this));
    http_response_head head{.status = rejection.status, .fields = {}, .content_length = {}};
    head.fields.add("Content-Type", "application/json");
    head.fields.add("X-Ragworthinge-Outcome", "not-run");
    head.fields.add("Connection", "close");
    const std::string body = R"({"error":")" + rejection.reason + "\"}\n";
    // The connection is closed after this response, because the boundaries of further requests are unknown.
    static_cast<void>(respond(exchange, std::move(head), body));
    end_exchange(exchange);
}

} // namespace ragworthinge
