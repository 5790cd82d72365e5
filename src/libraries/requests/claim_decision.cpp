#include "requests/claim_decision.h"

namespace ragworthinge {

std::optional<refusal> to_refusal(const claim_decision& decision) {
    switch (decision.verdict) {
    case claim_verdict::proceed:
        return std::nullopt;
    case claim_verdict::replay:
        if (decision.response && decision.response->kept)
            return std::nullopt;
        return refusal{refusal_kind::answer_not_kept, "the request completed earlier; its answer was not kept", {}};
    case claim_verdict::running:
        return refusal{refusal_kind::claim_running, "the same request is still running", {}};
    case claim_verdict::key_reused:
        return refusal{refusal_kind::claim_key_reused, "the Idempotency-Key belongs to a different request", {}};
    case claim_verdict::unavailable:
        return refusal{refusal_kind::store_unavailable, decision.detail, {}};
    case claim_verdict::unknown:
        break;
    }
    return refusal{refusal_kind::claim_outcome_unknown, decision.detail, {}};
}

} // namespace ragworthinge
