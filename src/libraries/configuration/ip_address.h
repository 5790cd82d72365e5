#pragma once

#include "base/result.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace ragworthinge {

/// An IPv4 or IPv6 number. IPv4 uses the first four bytes.
struct ip_address {
    std::array<unsigned char, 16> bytes{};
    bool is_v6 = false;

    bool is_unspecified() const noexcept;
    bool is_multicast() const noexcept;
    unsigned bits() const noexcept { return is_v6 ? 128 : 32; }

    friend bool operator==(const ip_address&, const ip_address&) = default;
    friend bool operator<(const ip_address& left, const ip_address& right) {
        return std::tie(left.bytes, left.is_v6) < std::tie(right.bytes, right.is_v6);
    }
};

/// Parses a number; names are not resolved.
result<ip_address> parse_ip_address(std::string_view text);

/// Canonical text of the number.
std::string to_text(const ip_address& address);

/// An IP number with a port, written "IP:PORT" or "[IPV6]:PORT".
struct ip_endpoint {
    std::string address; ///< Canonical IP number without brackets.
    std::uint16_t port = 0;

    friend bool operator==(const ip_endpoint&, const ip_endpoint&) = default;
    friend bool operator<(const ip_endpoint& left, const ip_endpoint& right) {
        return std::tie(left.address, left.port) < std::tie(right.address, right.port);
    }
};

/// Parses "IP:PORT"; the port must be at least 1.
result<ip_endpoint> parse_ip_endpoint(std::string_view text);

std::string to_text(const ip_endpoint& endpoint);

/// A block of addresses in CIDR notation.
struct ip_prefix {
    ip_address address;
    unsigned length = 0; ///< Bits.

    friend bool operator==(const ip_prefix&, const ip_prefix&) = default;
    friend bool operator<(const ip_prefix& left, const ip_prefix& right) {
        return std::tie(left.address, left.length) < std::tie(right.address, right.length);
    }
};

/// Parses "ADDRESS/LENGTH"; bits beyond the length must be zero.
result<ip_prefix> parse_ip_prefix(std::string_view text);

std::string to_text(const ip_prefix& prefix);

} // namespace ragworthinge
