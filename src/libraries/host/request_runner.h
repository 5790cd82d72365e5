#pragma once

#include "host/claim_service.h"
#include "host/relay.h"
#include "host/request_context.h"
#include "host/service_dispatch.h"
#include "net/http_connection_pool.h"
#include "requests/poison_registry.h"
#include "requests/refusal.h"
#include "requests/retry_budget.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace ragworthinge {

class fiber_runtime;

/// Services whose requests this host can dispatch, by name.
using service_dispatches = std::map<service_id, std::unique_ptr<service_dispatch>>;

/// Collaborators of a request_runner; all outlive it.
struct request_runner_options {
    fiber_runtime& runtime;
    service_dispatches& services;
    claim_service& claims;
    poison_registry& poison;
    retry_budget& retries;
    http_connection_pool& upstreams;
    /// Stores a quarantine record and tells the other hosts.
    std::function<void(const poison_record&)> publish_poison;
};

/// How a request ended, for metrics and explanations.
struct run_report {
    std::optional<refusal> refused; ///< Absent if an upstream's or a stored answer was relayed.
    unsigned status = 0;            ///< Status that the caller got; zero if the transfer was broken off.
    upstream_id upstream;           ///< Last upstream tried.
    unsigned attempts = 0;          ///< Upstreams tried.
    duration queued{};              ///< Time in the queue, over all attempts.
    bool replayed = false;          ///< The stored answer of an earlier run was sent.
    bool may_have_run = false;      ///< A byte of the request was written to an upstream.
    bool moved = false;             ///< Not answered: another host became the dispatcher.
};

/// Runs admitted requests on the upstreams of this host's region: claims, queues, dispatches, retries and answers.
class request_runner {
public:
    explicit request_runner(request_runner_options options) : m_options(std::move(options)) {}

    /// Answers the request, unless the report says that it moved. `request` must stay valid until it returns.
    run_report run(const request_context& request, http_exchange& caller);

private:
    struct attempt {
        bool ended = false;              ///< No further attempt.
        std::optional<refusal> refused;  ///< Set if the request ended with a refusal.
        failure_domain_id failed_domain; ///< Of the upstream that failed.
    };

    std::optional<refusal> run_attempts(const request_context& request, http_exchange& caller, relay_result& last,
                                        run_report& report);
    attempt try_once(const request_context& request, http_exchange& caller, failure_domain_id avoided,
                     relay_result& last, run_report& report);
    attempt conclude(const request_context& request, http_exchange& caller, const upstream_configuration& upstream,
                     request_ticket ticket, relay_result& last);
    bool wait_for_suspect(const request_context& request, failure_domain_id& avoided, std::optional<refusal>& refused);
    void record_end(const request_context& request, run_outcome end, const upstream_configuration& upstream);
    bool may_retry(const request_context& request, const relay_result& last);
    void record_claim_end(claim_ticket ticket, const run_report& report, const relay_result& last);

    request_runner_options m_options;
    request_ticket m_last_ticket = 0;
};

/// Sends a refusal. A caller that already got a part of another answer sees a broken transfer instead.
void answer_refusal(http_exchange& caller, const refusal& reason, const request_id& id);

} // namespace ragworthinge
