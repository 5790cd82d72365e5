#pragma once

#include "base/http_message.h"
#include "base/result.h"
#include "base/time.h"
#include "host/request_context.h"

#include <string>
#include <string_view>

namespace ragworthinge {

/// Header with which a host tells another that it did not take a request.
inline constexpr std::string_view declined_field = "X-Ragworthinge-Declined";

/// Header that marks and authenticates a request between hosts.
inline constexpr std::string_view seal_field = "X-Ragworthinge-Seal";

/// Carries an admitted request from the host that admitted it to the dispatcher of its service.
///
/// The internal fields travel as headers and are authenticated with the fleet secret, so that nobody else can have a
/// request run for an account of their choice.
class peer_request {
public:
    explicit peer_request(std::string fleet_secret) : m_secret(std::move(fleet_secret)) {}

    /// Head for the hop to the other host.
    http_request_head wrap(const request_context& request, time_point now) const;

    /// Rebuilds the context from a hop's head. The body and the snapshot are left for the caller to fill in.
    /// Errors: unauthorized, invalid_argument.
    result<request_context> unwrap(const http_request_head& head, time_point now) const;

private:
    std::string seal(const http_request_head& head) const;

    std::string m_secret;
};

} // namespace ragworthinge
