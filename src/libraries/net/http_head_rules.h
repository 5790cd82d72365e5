#pragma once

#include <string_view>

namespace ragworthinge {

/// Result of checking the raw bytes of a request head.
enum class head_verdict {
    incomplete, ///< The blank line that ends the head has not been received.
    complete,   ///< The text contains the whole head.
    malformed ///< Contains a bare CR or LF, a folded line, a NUL byte or no start line; HTTP parsers differ in reading
              ///< these.
};

/// Checks the raw bytes of a request head before they are parsed. Request smuggling relies on two HTTP parsers that
/// interpret the same bytes differently, so ambiguous heads are rejected here.
head_verdict check_raw_head(std::string_view text) noexcept;

} // namespace ragworthinge
