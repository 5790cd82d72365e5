#pragma once

#include "base/http_message.h"
#include "base/identifiers.h"
#include "base/result.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace ragworthinge {

/// Reasons for which this system responds to a request itself instead of relaying an upstream's response.
enum class refusal_kind {
    malformed_request,     ///< The request violates HTTP or has an unusable header field.
    ambiguous_path,        ///< Two HTTP implementations could interpret the path differently.
    body_too_large,        ///< The body exceeds the host's limit.
    key_missing,           ///< The route needs a key and the request has none.
    key_wrong,             ///< The key is unknown or revoked.
    keys_stale,            ///< This host cannot prove that its key table is current.
    route_forbidden,       ///< The route is restricted to other client accounts.
    route_unknown,         ///< No route matches the path.
    over_rate,             ///< The client account has used up its rate and burst.
    queue_full,            ///< The service's queue has no room for this client account.
    no_capacity,           ///< No upstream can take the request now.
    deadline_before_run,   ///< The deadline passed before the request was dispatched.
    store_unavailable,     ///< The claim cannot be stored, so duplicates could not be detected.
    host_leaving,          ///< This host is leaving the fleet and accepts no new requests.
    quarantined,           ///< Two upstreams lost their connections while running the request.
    claim_running,         ///< An equal request with the same Idempotency-Key is still running.
    claim_key_reused,      ///< The Idempotency-Key was used for a different request.
    claim_outcome_unknown, ///< The same request was dispatched earlier and its result was not recorded.
    answer_not_kept,       ///< The same request completed earlier; its response was too large to store.
    upstream_failed,       ///< The upstream closed the connection after the request was dispatched.
    upstream_timeout       ///< The upstream did not respond before the deadline.
};

inline constexpr std::size_t refusal_kind_count = static_cast<std::size_t>(refusal_kind::upstream_timeout) + 1;

/// Execution state of a request as reported to the caller (header X-Ragworthinge-Outcome).
enum class request_outcome {
    not_run,    ///< Did not run; safe to retry.
    unknown,    ///< May have run.
    running,    ///< Still running; the caller may repeat the request later.
    key_reused, ///< The Idempotency-Key was used for another request.
    completed   ///< Completed earlier; the response is no longer available.
};

/// Returns the value of X-Ragworthinge-Outcome.
std::string_view to_string(request_outcome outcome) noexcept;

/// Returns the lower-case name of a refusal kind, as used in the JSON body and in metrics.
std::string_view to_string(refusal_kind kind) noexcept;

/// Decision not to forward a request, or not to forward it again.
struct refusal {
    refusal_kind kind = refusal_kind::malformed_request;
    std::string detail;                              ///< Human-readable; must not contain a secret.
    std::optional<std::chrono::seconds> retry_after; ///< Overrides the default of the kind.

    unsigned status() const noexcept;
    request_outcome outcome() const noexcept;
};

/// Either a value or the refusal that ends the request.
template <class Value>
using admitted = boost::outcome_v2::basic_result<Value, refusal, boost::outcome_v2::policy::all_narrow>;

/// Builds the refusal side of an `admitted`.
inline auto refuse(refusal_kind kind, std::string detail) {
    return boost::outcome_v2::failure(refusal{kind, std::move(detail), std::nullopt});
}

/// Complete response to a refused request.
struct refusal_response {
    http_response_head head;
    std::string body;
};

/// Builds the status, header fields and JSON body for a refusal.
refusal_response make_refusal_response(const refusal& reason, const request_id& request);

} // namespace ragworthinge
