#include "host/relay.h"

#include <memory>
#include <span>
#include <string_view>
#include <utility>

namespace ragworthinge {

namespace {

constexpr std::size_t chunk_bytes = 16 * 1024;

/// One forwarding attempt with its buffer.
class relay {
public:
    relay(const request_context& request, http_exchange& caller, http_connection& connection,
          const relay_options& options)
        : m_request(request), m_caller(caller), m_connection(connection), m_options(options),
          m_buffer(std::make_unique_for_overwrite<char[]>(chunk_bytes)) {}

    relay_result run() {
        if (const auto sent = send_request(); !sent)
            return end(sent.error());

        auto head = m_connection.read_head();
        if (!head)
            return end(head.error());
        if (m_options.is_declined && m_options.is_declined(head.value()))
            return decline();
        m_result.stage = relay_stage::answer_begun;
        m_result.status = head.value().status;
        if (m_options.capture_limit > 0)
            m_result.answer_head = head.value();
        if (const auto relayed = relay_answer(std::move(head).value()); !relayed)
            return end(relayed.error());
        m_result.stage = relay_stage::answer_relayed;
        return std::move(m_result);
    }

private:
    std::span<char> buffer() { return {m_buffer.get(), chunk_bytes}; }

    relay_result end(error cause) {
        if (m_result.stage == relay_stage::not_sent && m_connection.request_started())
            m_result.stage = relay_stage::sent;
        m_result.cause = std::move(cause);
        return std::move(m_result);
    }

    // The body is read so that the connection can be used again.
    relay_result decline() {
        m_result.declined = true;
        m_result.stage = relay_stage::not_sent;
        auto read = m_connection.read_body(buffer());
        while (read && read.value() > 0)
            read = m_connection.read_body(buffer());
        return std::move(m_result);
    }

    result<void> send_request() {
        m_connection.begin_request(m_request.head, m_request.deadline);
        if (!m_request.body.empty()) {
            BOOST_OUTCOME_TRYV(m_connection.write_body(m_request.body));
        }
        if (!m_request.body_complete) {
            BOOST_OUTCOME_TRYV(send_rest_of_body());
        }
        return m_connection.finish_request();
    }

    result<void> send_rest_of_body() {
        for (;;) {
            auto read = m_caller.read_body(buffer());
            if (!read) {
                m_result.caller_failed = true;
                return std::move(read).error();
            }
            if (read.value() == 0)
                return boost::outcome_v2::success();
            BOOST_OUTCOME_TRYV(m_connection.write_body({m_buffer.get(), read.value()}));
        }
    }

    result<void> relay_answer(http_response_head head) {
        if (m_options.edit_head)
            m_options.edit_head(head);
        m_caller.begin_response(std::move(head));
        m_result.answer_captured = m_options.capture_limit > 0;
        for (;;) {
            BOOST_OUTCOME_TRY(const std::size_t bytes, m_connection.read_body(buffer()));
            if (bytes == 0)
                break;
            const std::string_view chunk(m_buffer.get(), bytes);
            capture(chunk);
            forward(chunk);
            if (m_result.caller_failed && m_options.capture_limit == 0)
                return m_caller_error;
        }
        m_result.answer_complete = true;
        if (!m_result.caller_failed) {
            if (auto finished = m_caller.finish(); !finished)
                fail_caller(std::move(finished).error());
        }
        if (m_result.caller_failed)
            return m_caller_error;
        return boost::outcome_v2::success();
    }

    // A captured answer is read to its end even if its caller went away, so that it can be recorded.
    void forward(std::string_view chunk) {
        if (m_result.caller_failed)
            return;
        if (auto written = m_caller.write_body(chunk); !written)
            fail_caller(std::move(written).error());
    }

    void fail_caller(error cause) {
        m_result.caller_failed = true;
        m_caller_error = std::move(cause);
    }

    void capture(std::string_view chunk) {
        if (!m_result.answer_captured)
            return;
        if (m_result.answer_body.size() + chunk.size() > m_options.capture_limit) {
            m_result.answer_captured = false;
            m_result.answer_body.clear();
            return;
        }
        m_result.answer_body.append(chunk);
    }

    const request_context& m_request;
    http_exchange& m_caller;
    http_connection& m_connection;
    const relay_options& m_options;
    std::unique_ptr<char[]> m_buffer;
    relay_result m_result;
    error m_caller_error;
};

} // namespace

relay_result relay_request(const request_context& request, http_exchange& caller, http_connection& connection,
                           const relay_options& options) {
    return relay(request, caller, connection, options).run();
}

} // namespace ragworthinge
