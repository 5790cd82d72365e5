#pragma once

#include "base/byte_budget.h"
#include "base/http_message.h"
#include "base/time.h"
#include "gateway/caller_dialect.h"
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
    /// Longest time for a new connection. Ten times the round trip between the farthest regions.
    duration connect_timeout = std::chrono::milliseconds(400);
    /// A connection whose peer acknowledges nothing for this long is dead. Above the loss recovery of a lossy link.
    std::chrono::milliseconds dead_peer_limit{2000};
    /// Idle connections are closed this long before the upstream would close them.
    duration idle_margin = std::chrono::milliseconds(2000);
    /// Idle time of an upstream that does not state one. Source: 10 s at the users' upstreams.
    duration default_idle_time = std::chrono::seconds(10);
    /// A request that must not run twice takes only a connection that was used this recently: an older one may be dead,
    /// and then nobody knows whether the request ran.
    duration recent_use = std::chrono::seconds(3);
    std::size_t idle_limit = 8;                    ///< Idle connections kept per upstream.
    std::size_t answer_limit = 16UL * 1024 * 1024; ///< Bytes of one answer.
    /// Bytes of all answers that are held at the same time; beyond it only one is read on. Source: with the limit of
    /// one answer a third of the smallest hosts' 160 MB.
    std::size_t answer_memory = 32UL * 1024 * 1024;
    /// Pause of an answer for which there is no room.
    duration memory_pause = std::chrono::milliseconds(5);
    unsigned foreign_answer_limit = 2; ///< Answers to other requests that are skipped.
};

/// How an attempt at an upstream ended.
struct upstream_attempt {
    enum class kind {
        answered,    ///< Complete answer to this request.
        not_run,     ///< The upstream rejected it and states that it did not run.
        unreachable, ///< No connection; nothing was sent.
        broken,      ///< Sent, and no valid answer came: it may have run.
        timed_out,   ///< Sent, and no answer by the deadline.
    };
    kind type = kind::unreachable;
    http_response_head head; ///< For answered and not_run.
    std::string body;
    byte_reservation body_memory;  ///< Of the body.
    std::string problem;           ///< For people.
    bool wrong_upstream = false;   ///< Another upstream has the address.
    bool connection_ended = false; ///< The connection ended without a byte of an answer.
};

std::string_view to_string(upstream_attempt::kind kind) noexcept;

/// Lets another fiber or handler end an attempt.
class attempt_canceller {
public:
    /// Closes the connection of the attempt under way; an attempt that starts later ends at once.
    void cancel();

    /// Nothing more is sent, but what an upstream has is left to finish.
    void stop_sending() noexcept { m_may_send = false; }

    bool is_cancelled() const noexcept { return m_cancelled; }
    bool may_send() const noexcept { return m_may_send && !m_cancelled; }
    void attach(http_connection* connection) noexcept { m_connection = connection; }

private:
    http_connection* m_connection = nullptr;
    bool m_cancelled = false;
    bool m_may_send = true;
};

/// A request as it goes to an upstream.
struct outgoing_request {
    http_request_head head;
    std::string body;
    std::string id;
    bool is_idempotent = false;
};

/// Sends requests to upstreams over kept connections and accepts only complete answers that name the request.
class upstream_client {
public:
    using distance_handler = std::function<void(const region_id&, duration)>;

    upstream_client(fiber_runtime& runtime, const caller_dialect& dialect, event_log& log,
                    upstream_client_options options = {});

    /// Called with the time that a new connection took.
    void on_distance(distance_handler handler) { m_on_distance = std::move(handler); }

    /// Blocks the fiber. The deadline is a time of the monotonic clock.
    upstream_attempt perform(const std::shared_ptr<observed_upstream>& upstream, const outgoing_request& request,
                             attempt_canceller& canceller, time_point deadline);

    /// Whether an idle connection to the upstream can be used now.
    bool has_idle(const upstream_id& upstream, bool is_idempotent) const;

    /// Whether a connection can be established now; pauses the upstream if not. Blocks the fiber.
    bool probe(const std::shared_ptr<observed_upstream>& upstream);

    /// Closes connections that stayed idle for too long or whose upstream is gone.
    void close_idle(const std::map<upstream_id, std::shared_ptr<observed_upstream>>& known);

    /// Bytes of answers that are held now.
    std::size_t held_answer_bytes() const noexcept { return m_answer_memory.held(); }

    std::uint64_t connections_opened() const noexcept { return m_connections_opened; }

private:
    struct idle_connection {
        std::unique_ptr<http_connection> connection;
        time_point used_at;
        time_point usable_until;
    };

    /// Connections of one run of an upstream.
    struct connection_set {
        std::string address;
        std::int64_t started_at = 0;
        std::vector<idle_connection> idle;
    };

    bool is_usable(const idle_connection& candidate, bool is_idempotent, time_point now) const;
    connection_set& set_of(const upstream_facts& facts);
    std::unique_ptr<http_connection> take_idle(const upstream_facts& facts, bool is_idempotent);
    result<std::unique_ptr<http_connection>> open(const std::shared_ptr<observed_upstream>& upstream,
                                                  time_point deadline);
    void keep(const upstream_facts& facts, std::unique_ptr<http_connection> connection, const http_response_head& head);
    void start_recovery(const std::shared_ptr<observed_upstream>& upstream, duration pause);
    upstream_attempt exchange(http_connection& connection, const outgoing_request& request, time_point deadline);
    result<std::string> read_answer_body(http_connection& connection, byte_reservation& memory, time_point deadline);
    upstream_attempt judge(http_response_head head, std::string body) const;

    fiber_runtime& m_runtime;
    const caller_dialect& m_dialect;
    event_log& m_log;
    upstream_client_options m_options;
    byte_budget m_answer_memory;
    distance_handler m_on_distance;
    std::map<upstream_id, connection_set> m_sets;
    std::uint64_t m_connections_opened = 0;
};

} // namespace ragworthinge
