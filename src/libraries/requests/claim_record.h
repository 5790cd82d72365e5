#pragma once

#include "base/identifiers.h"
#include "base/result.h"
#include "base/time.h"
#include "requests/stored_response.h"

#include <optional>
#include <string>
#include <string_view>

namespace ragworthinge {

/// Progress of a claimed request as recorded in the store.
enum class claim_state {
    running,   ///< Claimed; may have been dispatched.
    completed, ///< The record contains the upstream's response.
    unknown    ///< Dispatched, but the upstream gave no complete response.
};

/// Value stored under a claim key.
struct claim_record {
    std::string fingerprint; ///< Fingerprint of the request, see `request_fingerprint`.
    std::string tag;         ///< Unique per attempt; distinguishes a host's own write from another host's.
    host_id host;            ///< Host that created the claim; informational, for operators.
    claim_state state = claim_state::running;
    wall_time claimed_at;   ///< Informational, for operators.
    wall_time abandoned_at; ///< Deadline plus grace period; the outcome of a claim still running then is unknown.
    std::optional<stored_response> response; ///< Present if and only if `state` is `completed`.

    std::string encode() const;

    /// Decodes a record. Fails with protocol_violation on any text that `encode` does not produce.
    static result<claim_record> decode(std::string_view text);
};

/// Returns the store key of a claim. The last component has a fixed length, so that no account name can produce the key
/// of another client account.
std::string claim_store_key(const account_id& account, std::string_view idempotency_key);

} // namespace ragworthinge
