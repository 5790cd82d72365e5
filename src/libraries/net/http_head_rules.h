#pragma once

#include <string_view>

namespace ragworthinge {

/// Result of checking the raw bytes of a request head.
enum class raw_head_state {
    incomplete, ///< The blank line that ends the head has not been received.
    complete,   ///< The text contains the whole head.
    malformed ///< Contains a bare CR or LF, a folded line, a NUL byte or no start line; HTTP parsers differ in reading
              ///< these.
};

/// Checks the raw bytes of a request head before they are parsed. Request smuggling relies on two HTTP parsers that
/// interpret the same bytes differently, so ambiguous heads are rejected here.
raw_head_state check_raw_head(std::string_view text) noexcept;

} // namespace ragworthinge
