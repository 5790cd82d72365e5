#pragma once

#include "gateway/attempt_runner.h"
#include "gateway/body_reader.h"
#include "gateway/caller_request.h"
#include "gateway/fleet_exchange.h"
#include "gateway/header_field_names.h"
#include "gateway/traffic_splitter.h"
#include "gateway/upstream_client.h"
#include "net/http_exchange.h"
#include "observability/event_log.h"
#include "observability/metrics.h"
#include "steering/request_dispatcher.h"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace ragworthinge {

class fiber_runtime;

struct request_gateway_options {
    body_reader_options bodies;
    /// Longest time for which a request is held while no configuration is known. A started host reads the configuration
    /// within about 0.3 s, and callers give up after a third of their time limit, 0.5 s at the shortest.
    duration startup_hold_limit = std::chrono::milliseconds(400);
    duration startup_check_period = std::chrono::milliseconds(20);
    /// Retry-After of responses while no configuration is known, too many bodies are held or a request is blocked
    /// because it crashes its upstreams.
    std::chrono::milliseconds default_retry_after{500};
    /// Failed connection attempts that are tolerated per request. They do not count as attempts of the route, since
    /// nothing was sent.
    unsigned connect_failure_limit = 3;
};

/// Components of the host that request handling uses.
struct request_gateway_components {
    fiber_runtime& runtime;
    fleet_state& fleet;
    fleet_membership& membership;
    request_dispatcher& dispatcher;
    account_limiter& limiter;
    fleet_retry_budget& retries;
    crash_tracker& crashes;
    fleet_exchange& exchange;
    upstream_client& client;
    const header_field_names& field_names;
    event_log& log;
    metrics& counters;
};

/// Forwards callers' requests to upstreams: admission, placement, attempts and the final response.
class request_gateway {
public:
    explicit request_gateway(request_gateway_components components, request_gateway_options options = {})
        : m_components(components), m_options(options), m_bodies(components.runtime, options.bodies),
          m_runner({.dispatcher = components.dispatcher,
                    .crashes = components.crashes,
                    .client = components.client,
                    .field_names = components.field_names,
                    .log = components.log,
                    .counters = components.counters}) {}

    /// Handles one request and sends the response. Blocks the fiber.
    void handle(http_exchange& exchange);

    /// Whether a pipelined request may start before the earlier ones on its connection have their responses. Only an
    /// idempotent request may: if the connection ends first, its response is lost and the caller can safely repeat it.
    bool may_run_concurrently(const http_request_head& head) const;

    /// Objects that upstreams first handled for this host since the last call, for this host's report.
    std::vector<known_object> take_new_objects() { return m_runner.take_new_objects(); }

    std::size_t in_progress() const noexcept { return m_in_progress.size(); }

    /// Ends the attempts that are in progress, because the host is about to exit. Their callers learn that the request
    /// may have run: after a closed connection they could take it for one that was never read.
    void interrupt_attempts();

    /// Logs the requests in progress, which the exit of the process cuts off.
    void log_cut_off();

private:
    struct request_context;

    bool admit(http_exchange& exchange, request_context& request);
    void wait_for_configuration(const request_context& request);
    bool admit_fingerprint(http_exchange& exchange, request_context& request);
    bool admit_account(http_exchange& exchange, request_context& request);
    bool admit_large_body(http_exchange& exchange, request_context& request);
    void refund_token(request_context& request);
    bool acquire_rate_token(request_context& request);
    bool read_body(http_exchange& exchange, request_context& request);
    void forward_request(http_exchange& exchange, request_context& request);
    dispatch_decision select_upstream(request_context& request);
    dispatch_decision wait_in_queue(request_context& request, const dispatch_request& wanted);
    void begin_attempt(request_context& request, const placement& placed);
    void run_attempt(request_context& request, const placement& placed);
    static std::shared_ptr<const attempt_subject> make_subject(const request_context& request);
    static void count_attempt(request_context& request, const placement& placed, const upstream_attempt& attempt);
    bool may_retry(request_context& request);
    void send_response(http_exchange& exchange, request_context& request);
    void send_refusal(http_exchange& exchange, request_context& request, unsigned status, std::string_view reason,
                      duration retry_after = duration::zero());
    void log_completion(const request_context& request, unsigned status, std::string_view reason);

    request_gateway_components m_components;
    request_gateway_options m_options;
    body_reader m_bodies;
    attempt_runner m_runner;
    traffic_splitter m_splitter;
    waiting_ticket m_last_ticket = 0;
    std::set<request_context*> m_in_progress;
};

} // namespace ragworthinge
