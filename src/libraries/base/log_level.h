#pragma once

#include <string_view>

namespace ragworthinge {

/// Severity of a logged event, and the minimum severity that is written.
enum class log_level { debug, info, warn, error, off };

/// Name of a level as used in settings and log lines.
std::string_view to_string(log_level level) noexcept;

} // namespace ragworthinge
