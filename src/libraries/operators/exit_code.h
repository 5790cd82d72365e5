#pragma once

#include "base/error.h"

namespace ragworthinge {

inline constexpr int exit_success = 0;
inline constexpr int exit_refused = 1;     ///< The input has findings, or the request was rejected.
inline constexpr int exit_usage = 2;       ///< The command line is invalid.
inline constexpr int exit_unreachable = 3; ///< The store or a host is unreachable, or the outcome is unknown.
inline constexpr int exit_conflict = 4;    ///< Another operator's change was committed first.

/// Exit code for an operation that failed with `code`.
int to_exit_code(error_code code) noexcept;

} // namespace ragworthinge
