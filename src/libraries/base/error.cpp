#include "base/error.h"

namespace ragworthinge {

std::string_view to_string(error_code code) noexcept {
    switch (code) {
    case error_code::invalid_argument:
        return "invalid_argument";
    case error_code::not_found:
        return "not_found";
    case error_code::conflict:
        return "conflict";
    case error_code::unavailable:
        return "unavailable";
    case error_code::outcome_unknown:
        return "outcome_unknown";
    case error_code::timeout:
        return "timeout";
    case error_code::budget_exhausted:
        return "budget_exhausted";
    case error_code::unauthorized:
        return "unauthorized";
    case error_code::protocol_violation:
        return "protocol_violation";
    }
    return "unrecognised";
}

} // namespace ragworthinge
