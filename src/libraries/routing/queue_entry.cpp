#include "routing/queue_entry.h"

namespace ragworthinge {

std::string_view to_string(refusal_reason reason) noexcept {
    switch (reason) {
    case refusal_reason::queue_full:
        return "queue_full";
    case refusal_reason::deadline_missed:
        return "deadline_missed";
    case refusal_reason::over_rate:
        return "over_rate";
    case refusal_reason::no_upstream:
        return "no_upstream";
    }
    return "unrecognised";
}

} // namespace ragworthinge
