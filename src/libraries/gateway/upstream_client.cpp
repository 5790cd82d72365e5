#include "gateway/upstream_client.h"

#include "base/boot_clock.h"
#include "base/http_status.h"
#include "gateway/upstream_signals.h"
#include "net/fiber_runtime.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace ragworthinge {

namespace {

constexpr std::size_t read_chunk_bytes = 16UL * 1024;

bool is_success(unsigned status) {
    return status >= 200 && status < 300;
}

/// Parses `Keep-Alive: timeout=SECONDS`; absent if the field or the parameter is missing or malformed.
std::optional<duration> announced_idle_time(const http_response_head& head) {
    constexpr std::string_view parameter = "timeout=";
    const auto field = head.fields.find("Keep-Alive");
    if (!field)
        return std::nullopt;
    const auto position = field->find(parameter);
    if (position == std::string_view::npos)
        return std::nullopt;
    int seconds = 0;
    const char* first = field->data() + position + parameter.size();
    if (std::from_chars(first, field->data() + field->size(), seconds).ec != std::errc{})
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

} // namespace

std::string_view to_string(upstream_attempt::kind kind) noexcept {
    switch (kind) {
    case upstream_attempt::kind::answered:
        return "answered";
    case upstream_attempt::kind::not_run:
        return "not_run";
    case upstream_attempt::kind::unreachable:
        return "unreachable";
    case upstream_attempt::kind::broken:
        return "broken";
    case upstream_attempt::kind::timed_out:
        return "timed_out";
    }
    return "";
}

void attempt_canceller::cancel() {
    m_cancelled = true;
    if (m_connection != nullptr)
        m_connection->close();
}

upstream_client::upstream_client(fiber_runtime& runtime, const header_field_names& field_names, event_log& log,
                                 upstream_client_options options)
    : m_runtime(runtime), m_field_names(field_names), m_log(log), m_options(options),
      m_response_memory(options.response_memory, options.max_response_bytes) {}

upstream_client::idle_connection_pool& upstream_client::pool_for(const upstream_description& description) {
    idle_connection_pool& pool = m_pools[description.id];
    if (pool.address != description.address || pool.started_at != description.started_at)
        pool = {.address = description.address, .started_at = description.started_at, .idle = {}};
    return pool;
}

std::unique_ptr<http_connection> upstream_client::take_idle(const upstream_description& description,
                                                            bool is_idempotent) {
    auto& idle = pool_for(description).idle;
    const time_point now = monotonic_clock::now();
    while (!idle.empty()) {
        idle_connection candidate = std::move(idle.back());
        idle.pop_back();
        if (is_usable(candidate, is_idempotent, now) && !candidate.connection->is_stale())
            return std::move(candidate.connection);
    }
    return nullptr;
}

bool upstream_client::is_usable(const idle_connection& candidate, bool is_idempotent, time_point now) const {
    return now < candidate.usable_until &&
           (is_idempotent || now - candidate.used_at < m_options.non_idempotent_max_idle);
}

bool upstream_client::has_idle(const upstream_id& upstream, bool is_idempotent) const {
    const auto pool = m_pools.find(upstream);
    // The most recently used connection is at the end.
    return pool != m_pools.end() && !pool->second.idle.empty() &&
           is_usable(pool->second.idle.back(), is_idempotent, monotonic_clock::now());
}

result<std::unique_ptr<http_connection>> upstream_client::open(const std::shared_ptr<observed_upstream>& upstream,
                                                               time_point deadline) {
    const upstream_description description = upstream->description();
    BOOST_OUTCOME_TRY(const network_endpoint endpoint, parse_endpoint(description.address));
    const time_point started = monotonic_clock::now();
    const time_point limit = std::min(deadline, started + m_options.connect_timeout);
    ++m_connections_opened;
    auto connection = http_connection::connect(m_runtime, endpoint, limit,
                                               {.dead_peer_timeout = m_options.dead_peer_timeout, .tls = {}});
    if (connection) {
        upstream->record_reachable();
        if (m_on_connect_time)
            m_on_connect_time(upstream->region(), monotonic_clock::now() - started);
        return connection;
    }
    // If the deadline ended the attempt before the connect time-out, nothing is known about the upstream.
    if (limit < started + m_options.connect_timeout && connection.error().code == error_code::timeout)
        return connection;
    const bool was_paused = upstream->is_paused(boot_time_now());
    const duration pause = upstream->record_unreachable(boot_time_now());
    if (!was_paused) {
        m_log.write(log_level::warn, "upstream_unreachable", field("upstream", description.id),
                    field("address", description.address), field("cause", connection.error().message));
        start_recovery(upstream, pause);
    }
    return connection;
}

void upstream_client::start_recovery(const std::shared_ptr<observed_upstream>& upstream, duration pause) {
    m_runtime.spawn([this, upstream, pause] {
        // The pause is longer than the sleep by the time-out of the next attempt, so that no request is sent before the
        // attempt has ended.
        constexpr int attempt_limit = 60;
        duration next_pause = pause;
        for (int attempt = 0; attempt < attempt_limit; ++attempt) {
            m_runtime.sleep_for(next_pause);
            const auto endpoint = parse_endpoint(upstream->description().address);
            if (!endpoint)
                return;
            next_pause = upstream->record_unreachable(boot_time_now()) + m_options.connect_timeout;
            ++m_connections_opened;
            auto connection = http_connection::connect(m_runtime, endpoint.value(),
                                                       monotonic_clock::now() + m_options.connect_timeout,
                                                       {.dead_peer_timeout = m_options.dead_peer_timeout, .tls = {}});
            if (!connection)
                continue;
            upstream->record_reachable();
            m_log.write(log_level::info, "upstream_reachable", field("upstream", upstream->description().id));
            keep_idle(upstream->description(), std::move(connection).value(), {});
            return;
        }
    });
}

bool upstream_client::probe(const std::shared_ptr<observed_upstream>& upstream) {
    auto connection = open(upstream, monotonic_clock::now() + m_options.connect_timeout);
    if (!connection)
        return false;
    keep_idle(upstream->description(), std::move(connection).value(), {});
    return true;
}

void upstream_client::keep_idle(const upstream_description& description, std::unique_ptr<http_connection> connection,
                                const http_response_head& head) {
    auto& idle = pool_for(description).idle;
    if (idle.size() >= m_options.max_idle_connections)
        return;
    const duration idle_time = announced_idle_time(head).value_or(m_options.default_idle_time);
    const time_point now = monotonic_clock::now();
    if (idle_time > m_options.idle_margin)
        idle.push_back({std::move(connection), now, now + idle_time - m_options.idle_margin});
}

void upstream_client::close_idle(const std::map<upstream_id, std::shared_ptr<observed_upstream>>& known) {
    const time_point now = monotonic_clock::now();
    std::erase_if(m_pools, [&](const auto& entry) { return !known.contains(entry.first); });
    for (auto& [id, pool] : m_pools)
        std::erase_if(pool.idle, [&](const idle_connection& connection) { return connection.usable_until <= now; });
}

upstream_attempt upstream_client::perform(const std::shared_ptr<observed_upstream>& upstream,
                                          const outgoing_request& request, attempt_canceller& canceller,
                                          time_point deadline) {
    const upstream_description description = upstream->description();
    auto connection = take_idle(description, request.is_idempotent);
    duration connect_time{0};
    if (connection == nullptr) {
        const time_point started = monotonic_clock::now();
        auto opened = open(upstream, deadline);
        connect_time = monotonic_clock::now() - started;
        if (!opened)
            return {.type = upstream_attempt::kind::unreachable,
                    .problem = opened.error().message,
                    .connect_time = connect_time};
        connection = std::move(opened).value();
    }
    // The caller may have disconnected, or this host may exit, while the connection was opened.
    if (!canceller.may_send()) {
        keep_idle(description, std::move(connection), {});
        return {.type = upstream_attempt::kind::unreachable, .problem = "the request was cancelled before it was sent"};
    }
    // A response to another request may have said so while the connection was opened.
    if (!upstream->accepts_requests(boot_time_now())) {
        keep_idle(description, std::move(connection), {});
        return {.type = upstream_attempt::kind::unreachable,
                .problem = "the upstream leaves or asked for quiet",
                .connect_time = connect_time};
    }

    canceller.attach(connection.get());
    upstream_attempt attempt = exchange(*connection, upstream, request, deadline);
    attempt.connect_time = connect_time;
    canceller.attach(nullptr);
    const bool is_complete =
        attempt.type == upstream_attempt::kind::answered || attempt.type == upstream_attempt::kind::not_run;
    if (is_complete && connection->reusable())
        keep_idle(description, std::move(connection), attempt.head);
    return attempt;
}

void upstream_client::record_signals(observed_upstream& upstream, const http_response_head& head,
                                     const request_id& request) {
    const upstream_signals signals = read_upstream_signals(head, m_field_names);
    const upstream_id& id = upstream.description().id;
    if (signals.is_leaving) {
        ++m_leaving_responses;
        if (!upstream.is_leaving())
            m_log.write(log_level::info, "upstream_leaving", field("upstream", id), field("request", request),
                        field("status", head.status), field("until", "a later start"));
        upstream.mark_leaving();
    }
    if (signals.quiet_time) {
        ++m_quiet_responses;
        upstream.mark_quiet(boot_time_now() + *signals.quiet_time);
        m_log.write(log_level::info, "upstream_quiet", field("upstream", id), field("request", request),
                    field("asked_for", *signals.quiet_time), field("until", upstream.quiet_until() - boot_time_now()));
    }
    if (!signals.problem.empty())
        m_log.write(log_level::warn, "retry_after_ignored", field("upstream", id), field("request", request),
                    field("cause", signals.problem));
}

upstream_attempt upstream_client::exchange(http_connection& connection,
                                           const std::shared_ptr<observed_upstream>& upstream,
                                           const outgoing_request& request, time_point deadline) {
    const auto fail = [&](const error& cause, bool response_started) {
        const bool timed_out = cause.code == error_code::timeout && monotonic_clock::now() >= deadline;
        upstream_attempt attempt;
        attempt.type = timed_out ? upstream_attempt::kind::timed_out : upstream_attempt::kind::broken;
        attempt.problem = timed_out ? "no answer within the time left" : cause.message;
        attempt.connection_lost = !timed_out && !response_started;
        return attempt;
    };

    connection.begin_request(request.head, deadline);
    if (!request.body.empty()) {
        if (const auto written = connection.write_body(request.body); !written)
            return fail(written.error(), false);
    }
    if (const auto finished = connection.finish_request(); !finished)
        return fail(finished.error(), false);

    for (unsigned skipped = 0; skipped <= m_options.max_mismatched_responses; ++skipped) {
        auto head = connection.read_head();
        if (!head)
            return fail(head.error(), skipped > 0);
        record_signals(*upstream, head.value(), request.id);
        byte_reservation memory(m_response_memory);
        auto body = read_response_body(connection, memory, deadline);
        if (!body)
            return fail(body.error(), true);
        const auto id = head.value().fields.find(m_field_names.request_id);
        const bool is_rejection = !id && head.value().fields.find(m_field_names.not_run);
        if ((id && *id == request.id) || is_rejection) {
            upstream_attempt attempt = classify_response(std::move(head).value(), std::move(body).value());
            attempt.body_memory = std::move(memory);
            return attempt;
        }
        // This is a late or duplicate response to an earlier request; the response to this request may still follow.
        m_log.write(log_level::warn, "foreign_answer", field("request", request.id),
                    field("named", id ? std::string(*id) : std::string()), field("status", head.value().status));
    }
    return {.type = upstream_attempt::kind::broken, .problem = "only answers to other requests came"};
}

result<std::string> upstream_client::read_response_body(http_connection& connection, byte_reservation& memory,
                                                        time_point deadline) {
    std::string body;
    std::array<char, read_chunk_bytes> chunk{};
    for (;;) {
        BOOST_OUTCOME_TRY(const std::size_t size, connection.read_body(chunk));
        if (size == 0)
            return body;
        if (body.size() + size > m_options.max_response_bytes)
            return failure(error_code::protocol_violation,
                           "the answer is larger than " + std::to_string(m_options.max_response_bytes) + " bytes");
        // The upstream is blocked by TCP flow control meanwhile, since its bytes are not read.
        while (!memory.try_add(size)) {
            if (monotonic_clock::now() >= deadline)
                return failure(error_code::timeout, "too many bytes of answers are held");
            m_runtime.sleep_for(m_options.memory_retry_period);
        }
        body.append(chunk.data(), size);
    }
}

upstream_attempt upstream_client::classify_response(http_response_head head, std::string body) const {
    upstream_attempt attempt;
    attempt.wrong_upstream = head.status == http_status::misdirected_request;
    if (attempt.wrong_upstream || head.fields.find(m_field_names.not_run)) {
        attempt.type = upstream_attempt::kind::not_run;
        attempt.problem = "status " + std::to_string(head.status);
    } else if (is_success(head.status) && !head.fields.find(m_field_names.receipt)) {
        attempt.type = upstream_attempt::kind::broken;
        attempt.problem = "a successful answer without a receipt";
    } else if (head.fields.find("Content-Encoding")) {
        attempt.type = upstream_attempt::kind::broken;
        attempt.problem = "an encoded answer that nobody asked for";
    } else {
        attempt.type = upstream_attempt::kind::answered;
    }
    attempt.head = std::move(head);
    attempt.body = std::move(body);
    return attempt;
}

} // namespace ragworthinge
