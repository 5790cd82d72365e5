#pragma once

#include "base/identifiers.h"
#include "base/time.h"

#include <cstdint>
#include <string_view>

namespace ragworthinge {

/// Identifies one attempt to dispatch a request on this host. Never reused: a retry gets a new ticket.
using request_ticket = std::uint64_t;

/// A request that is queued for a slot.
struct queue_entry {
    request_ticket ticket = 0;
    account_id account; ///< Empty for open routes.
    time_point deadline;
    time_point enqueued_at;
    /// Whether the request may be repeated. Idempotent requests are preferred as probes of an upstream that failed.
    bool idempotent = true;
    /// Failure domain of the previous attempt, which a retry avoids; empty for a first attempt.
    failure_domain_id avoided_failure_domain;
};

/// Reason for which a request was not dispatched. A refused request was never executed.
enum class refusal_reason {
    queue_full,      ///< The queue, or the account's fraction of it, is full.
    deadline_missed, ///< The response could no longer arrive by the deadline.
    over_rate,       ///< The client account has no rate token left.
    no_upstream      ///< The service has no upstream in this region that accepts work.
};

/// Lower-case name of the reason, as used in logs.
std::string_view to_string(refusal_reason reason) noexcept;

} // namespace ragworthinge
