#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <string_view>

namespace ragworthinge {

inline constexpr std::size_t digest_bytes = 32;
using digest = std::array<unsigned char, digest_bytes>;

/// SHA-256 of the bytes.
digest sha256(std::string_view bytes);

/// HMAC-SHA-256 of the bytes under the secret.
digest hmac_sha256(std::string_view secret, std::string_view bytes);

/// Compares in constant time, independently of the contents.
bool equal_in_constant_time(const digest& left, const digest& right) noexcept;

/// Lower-case hexadecimal digits, 64 characters.
std::string to_hex(const digest& value);

} // namespace ragworthinge
