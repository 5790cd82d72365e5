#pragma once

#include "host/active_requests.h"
#include "host/host_state.h"
#include "host/request_context.h"
#include "net/http_exchange.h"
#include "requests/refusal.h"

#include <cstdint>
#include <functional>
#include <string>

namespace ragworthinge {

/// Collaborators of a request_entry; all outlive it.
struct request_entry_options {
    host_state& state;
    active_requests& active;
    std::string id_prefix; ///< Makes request ids of this run of the host unique in the fleet.
    /// Answers an admitted request, here or on another host.
    std::function<void(const request_context&, http_exchange&)> serve;
    /// Told of each refusal on admission.
    std::function<void(const request_id&, const refusal&)> on_refusal;
};

/// Admits callers' requests: checks target, key and route, strips credentials and plans the execution.
class request_entry {
public:
    explicit request_entry(request_entry_options options) : m_options(std::move(options)) {}

    /// Answers one request of a caller.
    void handle(http_exchange& exchange);

private:
    struct admission {
        request_context request;
        std::optional<digest> key_digest;
    };

    admitted<admission> admit(http_exchange& exchange, const request_id& id);
    request_id next_id();

    request_entry_options m_options;
    std::uint64_t m_last_id = 0;
};

/// Reads the first part of the body into the request, up to the limit for retries.
/// Fails if the caller's connection breaks.
result<void> read_body_prefix(http_exchange& exchange, request_context& request);

} // namespace ragworthinge
