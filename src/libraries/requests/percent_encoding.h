#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace ragworthinge {

/// Returns the value of a hexadecimal digit, or nullopt.
std::optional<unsigned> hex_digit_value(char digit) noexcept;

/// Returns whether a percent sign followed by two hexadecimal digits starts at `position`.
bool has_percent_escape(std::string_view text, std::size_t position) noexcept;

/// Decodes all percent escapes once. Returns nullopt if a percent sign is not followed by two hexadecimal digits.
std::optional<std::string> decode_percent_strictly(std::string_view text);

/// Decodes percent escapes once and leaves malformed ones unchanged.
std::string decode_percent(std::string_view text);

/// Decodes repeatedly until the text no longer changes, because several components in a chain may each decode once.
std::string decode_percent_fully(std::string_view text);

/// Converts ASCII letters to lower case; other bytes are unchanged.
std::string lower_case(std::string_view text);

/// Returns whether `text` contains `lowered`, ignoring ASCII case. `lowered` must be in lower case.
bool contains_ignoring_case(std::string_view text, std::string_view lowered) noexcept;

} // namespace ragworthinge
