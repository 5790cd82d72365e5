#pragma once

#include "base/time.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <string>

namespace ragworthinge {

/// Formats seconds with three decimals, the form of Retry-After that callers accept.
inline std::string retry_after_text(duration time) {
    std::array<char, 32> text{};
    const int size = std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(time).count());
    return {text.data(), static_cast<std::size_t>(size)};
}

} // namespace ragworthinge
