#pragma once

#include "requests/refusal.h"
#include "requests/stored_response.h"

#include <optional>
#include <string>

namespace ragworthinge {

/// How to proceed with a request after its Idempotency-Key was looked up.
enum class claim_verdict {
    proceed,    ///< This host holds the claim: dispatch the request once, or release the claim.
    replay,     ///< The request completed earlier; `response` holds the stored response.
    running,    ///< Another attempt holds the claim and its deadline has not passed.
    key_reused, ///< The key was used for a different request.
    unknown,    ///< An earlier attempt may have run, and no response was stored.
    unavailable ///< The claim could not be stored in time; this attempt did not run and will not.
};

/// Decision for a claimed request; each request gets exactly one.
struct claim_decision {
    claim_verdict verdict = claim_verdict::unavailable;
    std::optional<stored_response> response; ///< Present only for `replay`.
    std::string detail;                      ///< Human-readable; describes a malformed record found in the store.
};

/// Returns the refusal to send to the caller, or nullopt for `proceed` and for a replay whose response was stored.
std::optional<refusal> to_refusal(const claim_decision& decision);

} // namespace ragworthinge
