#pragma once

#include "base/result.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace ragworthinge {

/// An IPv4 or IPv6 address. IPv4-mapped IPv6 addresses (::ffff:a.b.c.d) are converted to IPv4.
struct client_address {
    bool is_ipv6 = false;
    std::array<std::uint8_t, 16> bytes{}; ///< Network byte order; IPv4 uses the first four bytes.
};

/// Parses the textual form of an address. Fails with invalid_argument.
result<client_address> parse_client_address(std::string_view text);

/// An address block in CIDR notation.
struct client_block {
    client_address address;
    unsigned length = 0; ///< Prefix length in bits.
};

/// Parses "ADDRESS/LENGTH". Fails with invalid_argument on malformed text or if bits after the prefix are set.
result<client_block> parse_client_block(std::string_view text);

} // namespace ragworthinge
