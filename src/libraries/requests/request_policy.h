#pragma once

#include "base/http_message.h"
#include "base/identifiers.h"
#include "requests/refusal.h"
#include "requests/route.h"

#include <chrono>
#include <optional>
#include <string>

namespace ragworthinge {

inline constexpr std::size_t max_idempotency_key_bytes = 255;
inline constexpr std::size_t max_request_id_bytes = 128;

/// Execution rules for one request.
struct request_plan {
    bool idempotent = false;                 ///< May be sent again after a failure.
    std::optional<std::string> claim_key;    ///< Idempotency-Key to claim before dispatch.
    std::chrono::milliseconds time_limit{0}; ///< Time from arrival to deadline.
    std::optional<request_id> requested_id;  ///< The caller's request id.
};

/// Derives the plan of a request on a route. `account` is absent for a request without a key; `service_timeout` is the
/// upper bound of the time limit that the caller asks for.
///
/// Refuses with malformed_request: CONNECT, TRACE, Upgrade, and an unusable or repeated Idempotency-Key,
/// X-Request-Timeout-Ms or X-Request-Id. Refuses with key_missing a claim without a client account, because callers
/// without an account could otherwise receive each other's responses.
admitted<request_plan> plan_request(const http_request_head& head, const route& matched,
                                    const std::optional<account_id>& account,
                                    std::chrono::milliseconds service_timeout);

} // namespace ragworthinge
