#pragma once

#include "host/host_state.h"
#include "host/peer_request.h"
#include "net/http_exchange.h"

#include <functional>

namespace ragworthinge {

/// Collaborators of a peer_entry; all outlive it.
struct peer_entry_options {
    host_state& state;
    peer_request codec;
    /// Runs the request on this host; false if it is not the dispatcher and did not answer.
    std::function<bool(const request_context&, http_exchange&)> run_here;
};

/// Accepts requests that other hosts admitted.
class peer_entry {
public:
    explicit peer_entry(peer_entry_options options) : m_options(std::move(options)) {}

    void handle(http_exchange& exchange);

private:
    peer_entry_options m_options;
};

} // namespace ragworthinge
