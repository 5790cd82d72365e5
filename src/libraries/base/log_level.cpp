#include "base/log_level.h"

namespace ragworthinge {

std::string_view to_string(log_level level) noexcept {
    switch (level) {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warn:
        return "warn";
    case log_level::error:
        return "error";
    case log_level::off:
        return "off";
    }
    return "off";
}

} // namespace ragworthinge
