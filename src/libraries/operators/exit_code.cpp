#include "operators/exit_code.h"

namespace ragworthinge {

int to_exit_code(error_code code) noexcept {
    switch (code) {
    case error_code::conflict:
        return exit_conflict;
    case error_code::unavailable:
    case error_code::outcome_unknown:
    case error_code::timeout:
    case error_code::budget_exhausted:
        return exit_unreachable;
    case error_code::invalid_argument:
    case error_code::not_found:
    case error_code::unauthorized:
    case error_code::protocol_violation:
        return exit_refused;
    }
    return exit_refused;
}

} // namespace ragworthinge
