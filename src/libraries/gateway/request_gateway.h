#pragma once

#include "gateway/caller_dialect.h"
#include "gateway/caller_request.h"
#include "gateway/fleet_exchange.h"
#include "gateway/traffic_splitter.h"
#include "gateway/upstream_client.h"
#include "net/http_exchange.h"
#include "observability/event_log.h"
#include "observability/metrics.h"
#include "steering/request_dispatcher.h"

#include <map>
#include <memory>
#include <vector>

namespace ragworthinge {

class fiber_runtime;

struct request_gateway_options {
    /// Bytes of request bodies that are held at the same time: a fifth of the smallest host's memory of 160 MB.
    std::size_t body_memory = 32UL * 1024 * 1024;
    /// Longest time for which a request is held while no configuration is known. A started host reads the configuration
    /// within about 0.3 s, and callers give up after a third of their time limit, 0.5 s at the shortest.
    duration start_hold = std::chrono::milliseconds(400);
    duration start_check_period = std::chrono::milliseconds(20);
    /// Retry-After of responses while no configuration is known, too many bodies are held or a request is blocked
    /// because it crashes its upstreams.
    std::chrono::milliseconds start_delay{500};
    /// Failed connection attempts that are tolerated per request. They do not count as attempts of the route, since
    /// nothing was sent.
    unsigned unreachable_limit = 3;
};

/// Components of the host that request handling uses.
struct request_gateway_parts {
    fiber_runtime& runtime;
    fleet_state& fleet;
    fleet_membership& membership;
    request_dispatcher& dispatcher;
    account_limiter& limiter;
    fleet_retry_budget& retries;
    crash_tracker& crashes;
    fleet_exchange& exchange;
    upstream_client& client;
    const caller_dialect& dialect;
    event_log& log;
    metrics& counters;
};

/// Forwards callers' requests to upstreams: admission, placement, attempts and the final response.
class request_gateway {
public:
    explicit request_gateway(request_gateway_parts parts, request_gateway_options options = {})
        : m_parts(parts), m_options(options) {}

    /// Handles one request and sends the response. Blocks the fiber.
    void handle(http_exchange& exchange);

    /// Whether a pipelined request may start before the earlier ones on its connection have their responses. Only an
    /// idempotent request may: if the connection ends first, its response is lost and the caller can safely repeat it.
    bool may_run_concurrently(const http_request_head& head) const;

    /// Objects that upstreams first handled for this host since the last call, for this host's report.
    std::vector<known_object> take_new_objects();

    std::size_t under_way() const noexcept { return m_under_way; }

private:
    struct carried_request;

    bool admit(http_exchange& exchange, carried_request& request);
    void wait_for_configuration(const carried_request& request);
    bool admit_account(http_exchange& exchange, carried_request& request);
    bool take_token(carried_request& request);
    bool read_body(http_exchange& exchange, carried_request& request);
    void carry(http_exchange& exchange, carried_request& request);
    dispatch_decision place(carried_request& request);
    dispatch_decision wait_for_place(carried_request& request, const dispatch_request& wanted);
    void begin_attempt(carried_request& request, const placement& placed);
    void run_attempt(carried_request& request, const placement& placed);
    void record_end(carried_request& request, const placement& placed, const upstream_attempt& attempt);
    void learn_answer(const carried_request& request, const placement& placed, duration taken, time_point now);
    void learn_load(observed_upstream& upstream, const http_response_head& head);
    void examine_crash(const carried_request& request, const std::shared_ptr<observed_upstream>& upstream);
    bool may_try_again(carried_request& request);
    void answer(http_exchange& exchange, carried_request& request);
    void answer_refusal(http_exchange& exchange, carried_request& request, unsigned status, std::string_view reason,
                        duration retry_after = duration::zero());
    void log_end(const carried_request& request, unsigned status, std::string_view reason);

    request_gateway_parts m_parts;
    request_gateway_options m_options;
    traffic_splitter m_splitter;
    waiting_ticket m_last_ticket = 0;
    std::size_t m_body_bytes = 0;
    std::size_t m_under_way = 0;
    std::vector<known_object> m_new_objects;
};

} // namespace ragworthinge
