#pragma once

#include "base/result.h"

#include <string>
#include <string_view>

namespace ragworthinge {

/// Encodes as standard base64 with padding.
std::string encode_base64(std::string_view bytes);

/// Decodes standard base64 with padding; fails with invalid_argument on a wrong length or other characters.
result<std::string> decode_base64(std::string_view text);

/// Encodes as lower-case hexadecimal digits.
std::string encode_hex(std::string_view bytes);

/// Decodes hexadecimal digits; fails with invalid_argument on an odd length or other characters.
result<std::string> decode_hex(std::string_view text);

} // namespace ragworthinge
