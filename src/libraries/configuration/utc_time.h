#pragma once

#include "base/result.h"
#include "base/time.h"

#include <string>
#include <string_view>

namespace ragworthinge {

/// Parses an RFC 3339 time in UTC with whole seconds, "2026-12-04T03:00:00Z". Other offsets are refused, so that
/// operators in several time zones read the same value.
result<wall_time> parse_utc_time(std::string_view text);

/// The same form, rounded down to seconds.
std::string to_utc_text(wall_time time);

} // namespace ragworthinge
