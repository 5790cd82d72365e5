#pragma once

#include "base/result.h"
#include "base/time.h"
#include "net/http_connection.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace ragworthinge {

class fiber_runtime;

/// Settings of a `peer_bus`.
struct peer_bus_options {
    network_endpoint listen;
    std::string fleet_secret;
    std::size_t parallel_requests = 16; ///< Maximum number of peer requests handled concurrently.
};

/// Requests and replies between hosts over nng, authenticated with the fleet secret. Each request is sent once; retries
/// are left to the code that calls `request`.
class peer_bus {
public:
    /// Handles a request and returns the reply. Runs in a fiber of its own on the runtime's thread.
    using handler = std::function<std::string(std::string_view request)>;

    /// Opens the listener. Errors: unavailable.
    static result<std::unique_ptr<peer_bus>> open(fiber_runtime& runtime, peer_bus_options options, handler on_request);

    peer_bus() = default;
    peer_bus(const peer_bus&) = delete;
    peer_bus& operator=(const peer_bus&) = delete;
    virtual ~peer_bus() = default;

    /// Sends a request and waits for the reply.
    /// Errors: timeout (the peer may have handled the request), unavailable, unauthorized.
    virtual result<std::string> request(const network_endpoint& peer, std::string_view payload, duration timeout) = 0;

    /// Bytes of messages sent and received since the start, without transport overhead.
    virtual std::uint64_t bytes_transferred() const = 0;
};

} // namespace ragworthinge
