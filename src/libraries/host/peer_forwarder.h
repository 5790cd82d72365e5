#pragma once

#include "host/peer_request.h"
#include "host/relay.h"
#include "host/request_context.h"
#include "net/http_connection_pool.h"
#include "requests/refusal.h"
#include "requests/retry_budget.h"

#include <functional>
#include <optional>

namespace ragworthinge {

class fiber_runtime;

/// Where a request should be dispatched now.
struct dispatch_place {
    bool here = false;         ///< On this host.
    network_endpoint endpoint; ///< Otherwise the caller listener of the other host.
    region_id region;          ///< Region whose capacity the request uses.
    bool counted = false;      ///< The steering counts the request at that region until it ends.
};

/// Collaborators of a peer_forwarder; all outlive it.
struct peer_forwarder_options {
    fiber_runtime& runtime;
    http_connection_pool& peers;
    retry_budget& retries;
    peer_request codec;
    /// Chooses the dispatcher host; asked again after a failure. Absent: no host is known for the service.
    std::function<std::optional<dispatch_place>(const request_context&)> place;
    /// Runs the request on this host; false if it is not the dispatcher any more and did not answer.
    std::function<bool(const request_context&, http_exchange&)> run_here;
    /// The request ended at the place; `refused` if it was not taken there.
    std::function<void(const request_context&, const dispatch_place&, bool refused)> on_place_end;
    /// The exchange was answered by another host, or refused here.
    std::function<void(const request_context&, const std::optional<refusal>&)> on_end;
};

/// Sends admitted requests to the dispatcher host of their service and relays the answer.
class peer_forwarder {
public:
    explicit peer_forwarder(peer_forwarder_options options) : m_options(std::move(options)) {}

    void serve(const request_context& request, http_exchange& caller);

private:
    enum class hop_end { answered, not_sent, declined, not_run, timed_out, failed };

    std::optional<refusal> try_until_deadline(const request_context& request, http_exchange& caller);
    hop_end forward(const request_context& request, const network_endpoint& endpoint, http_exchange& caller,
                    bool may_have_run);
    bool may_retry(const request_context& request) const;

    peer_forwarder_options m_options;
};

} // namespace ragworthinge
