#pragma once

#include "base/result.h"
#include "configuration/fleet_configuration.h"
#include "routing/client_address.h"
#include "routing/prefix_array.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ragworthinge {

/// Maps client addresses to the name of the nearest site by longest prefix match.
///
/// IPv6 prefixes of up to 64 bits, which nearly all client blocks have, are stored with 64-bit keys; longer ones are in
/// a separate array. A block takes 11 bytes for IPv4, 15 for IPv6 up to /64 and 23 for longer IPv6 prefixes.
class client_block_table {
public:
    client_block_table() = default;

    /// Builds a table. Fails with invalid_argument on a malformed prefix, and with conflict if a prefix has two sites.
    static result<client_block_table> build(std::span<const client_block_configuration> blocks);

    /// Returns the name of the site, or nullopt if no block contains the address.
    std::optional<std::string_view> find(const client_address& address) const;

    std::size_t size() const noexcept;

    /// Memory used by the arrays, in bytes.
    std::size_t memory_bytes() const noexcept;

private:
    __extension__ using wide_key = unsigned __int128;

    std::optional<std::uint16_t> find_site(const client_address& address) const;

    std::vector<std::string> m_sites;
    prefix_array<std::uint32_t> m_ipv4;
    prefix_array<std::uint64_t> m_ipv6;
    prefix_array<wide_key> m_long_ipv6;
};

} // namespace ragworthinge
