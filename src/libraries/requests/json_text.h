#pragma once

#include <string>
#include <string_view>

namespace ragworthinge {

/// Returns `text` as a quoted JSON string. Bytes outside printable ASCII become \u escapes of their byte value, so the
/// output is valid JSON for any input.
std::string quote_json(std::string_view text);

} // namespace ragworthinge
