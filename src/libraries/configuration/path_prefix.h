#pragma once

#include <string>
#include <string_view>

namespace ragworthinge {

/// Why the text is no usable path prefix, or an empty text. Encoded, relative and empty segments are refused because
/// a caller could write the same path in another way and reach another route.
std::string path_prefix_fault(std::string_view prefix);

} // namespace ragworthinge
