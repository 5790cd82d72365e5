#pragma once

#include "base/byte_budget.h"
#include "base/http_message.h"
#include "base/time.h"
#include "gateway/header_field_names.h"
#include "net/http_connection.h"
#include "observability/event_log.h"
#include "steering/observed_upstream.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace ragworthinge {

class fiber_runtime;

struct upstream_client_options {
    /// Time-out for opening a connection: ten times the round trip between the most distant regions.
    duration connect_timeout = std::chrono::milliseconds(400);
    /// A connection whose peer acknowledges nothing for this long counts as dead. Longer than loss recovery takes on a
    /// lossy link.
    std::chrono::milliseconds dead_peer_timeout{2000};
    /// Idle connections are closed this long before the upstream would close them.
    duration idle_margin = std::chrono::milliseconds(2000);
    /// Idle timeout assumed for an upstream that does not announce one. The users' upstreams close connections after 10
    /// s.
    duration default_idle_time = std::chrono::seconds(10);
    /// A request that is not idempotent uses only a connection that was used this recently. An older one may be dead,
    /// and then it is unknown whether the request was executed.
    duration non_idempotent_max_idle = std::chrono::seconds(3);
    std::size_t max_idle_connections = 8;                ///< Idle connections kept per upstream.
    std::size_t max_response_bytes = 16UL * 1024 * 1024; ///< Bytes of one response body.
    /// Bytes of response bodies that are held at the same time; beyond this only one response is read on. Together with
    /// the limit of one response this is a third of the smallest hosts' 160 MB.
    std::size_t response_memory = 32UL * 1024 * 1024;
    /// Interval at which a response that exceeds the memory budget checks again for room.
    duration memory_retry_period = std::chrono::milliseconds(5);
    unsigned max_mismatched_responses = 2; ///< Responses to other requests that are skipped per request.
};

/// How an attempt at an upstream ended.
struct upstream_attempt {
    enum class kind {
        answered,    ///< A complete response to this request arrived.
        not_run,     ///< The upstream rejected the request without executing it.
        unreachable, ///< No connection could be opened; nothing was sent.
        broken,      ///< Sent, but no valid response arrived: it may have been executed.
        timed_out,   ///< Sent, but no response arrived by the deadline.
    };
    kind type = kind::unreachable;
    http_response_head head; ///< Set for answered and not_run.
    std::string body;
    byte_reservation body_memory; ///< Memory reserved for the body.
    std::string problem;          ///< Description for logs and refusals.
    bool wrong_upstream = false;  ///< The address belongs to another upstream.
    bool connection_lost = false; ///< The connection ended before any byte of a response.
    duration connect_time{0};     ///< Time spent on opening a connection; zero if an open one was used.
};

std::string_view to_string(upstream_attempt::kind kind) noexcept;

/// Lets another fiber or a handler cancel an attempt.
class attempt_canceller {
public:
    /// Closes the connection of the attempt in progress. An attempt that starts later ends at once.
    void cancel();

    /// Prevents new attempts but lets a request that was already sent complete.
    void stop_sending() noexcept { m_may_send = false; }

    bool is_cancelled() const noexcept { return m_cancelled; }
    bool may_send() const noexcept { return m_may_send && !m_cancelled; }
    void attach(http_connection* connection) noexcept { m_connection = connection; }

private:
    http_connection* m_connection = nullptr;
    bool m_cancelled = false;
    bool m_may_send = true;
};

/// A request as it is sent to an upstream.
struct outgoing_request {
    http_request_head head;
    std::string body;
    std::string id;
    bool is_idempotent = false;
};

/// Sends requests to upstreams over pooled connections. Accepts only complete responses that carry the request's id.
class upstream_client {
public:
    using connect_time_handler = std::function<void(const region_id&, duration)>;

    upstream_client(fiber_runtime& runtime, const header_field_names& field_names, event_log& log,
                    upstream_client_options options = {});

    /// Sets a handler that receives the time that opening a connection took.
    void on_connect_time(connect_time_handler handler) { m_on_connect_time = std::move(handler); }

    /// Sends the request and waits for the response. Blocks the fiber. The deadline is a time of the monotonic clock.
    upstream_attempt perform(const std::shared_ptr<observed_upstream>& upstream, const outgoing_request& request,
                             attempt_canceller& canceller, time_point deadline);

    /// Whether there is an idle connection to the upstream that can be used now.
    bool has_idle(const upstream_id& upstream, bool is_idempotent) const;

    /// Whether a connection can be opened now. Pauses the upstream if not. Blocks the fiber.
    bool probe(const std::shared_ptr<observed_upstream>& upstream);

    /// Closes connections that were idle for too long or whose upstream no longer exists.
    void close_idle(const std::map<upstream_id, std::shared_ptr<observed_upstream>>& known);

    /// Bytes of response bodies that are held now.
    std::size_t held_response_bytes() const noexcept { return m_response_memory.held(); }

    std::uint64_t connections_opened() const noexcept { return m_connections_opened; }

    /// Number of responses whose upstream said that it leaves, and of rejections that asked for quiet.
    std::uint64_t leaving_responses() const noexcept { return m_leaving_responses; }
    std::uint64_t quiet_responses() const noexcept { return m_quiet_responses; }

private:
    struct idle_connection {
        std::unique_ptr<http_connection> connection;
        time_point used_at;
        time_point usable_until;
    };

    /// Idle connections to one incarnation of an upstream, identified by its address and start time.
    struct idle_connection_pool {
        std::string address;
        std::int64_t started_at = 0;
        std::vector<idle_connection> idle;
    };

    bool is_usable(const idle_connection& candidate, bool is_idempotent, time_point now) const;
    idle_connection_pool& pool_for(const upstream_description& description);
    std::unique_ptr<http_connection> take_idle(const upstream_description& description, bool is_idempotent);
    result<std::unique_ptr<http_connection>> open(const std::shared_ptr<observed_upstream>& upstream,
                                                  time_point deadline);
    void keep_idle(const upstream_description& description, std::unique_ptr<http_connection> connection,
                   const http_response_head& head);
    void start_recovery(const std::shared_ptr<observed_upstream>& upstream, duration pause);
    upstream_attempt exchange(http_connection& connection, const std::shared_ptr<observed_upstream>& upstream,
                              const outgoing_request& request, time_point deadline);
    /// Applies what the upstream says of itself in the head of a response, whatever becomes of the response.
    void record_signals(observed_upstream& upstream, const http_response_head& head, const request_id& request);
    result<std::string> read_response_body(http_connection& connection, byte_reservation& memory, time_point deadline);
    upstream_attempt classify_response(http_response_head head, std::string body) const;

    fiber_runtime& m_runtime;
    const header_field_names& m_field_names;
    event_log& m_log;
    upstream_client_options m_options;
    byte_budget m_response_memory;
    connect_time_handler m_on_connect_time;
    std::map<upstream_id, idle_connection_pool> m_pools;
    std::uint64_t m_connections_opened = 0;
    std::uint64_t m_leaving_responses = 0;
    std::uint64_t m_quiet_responses = 0;
};

} // namespace ragworthinge
