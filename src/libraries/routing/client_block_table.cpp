#include "routing/client_block_table.h"

#include <algorithm>
#include <limits>
#include <unordered_map>
#include <utility>

namespace ragworthinge {

namespace {

constexpr unsigned max_short_ipv6_length = 64;

template <class Key>
Key leading_bytes(const client_address& address) {
    Key key = 0;
    for (std::size_t position = 0; position < sizeof(Key); ++position)
        key = static_cast<Key>(key << 8U) | address.bytes[position];
    return key;
}

template <class Key>
void append(std::vector<typename prefix_array<Key>::prefix>& prefixes, const client_block& block, std::uint16_t site) {
    prefixes.push_back({leading_bytes<Key>(block.address), static_cast<std::uint8_t>(block.length), site});
}

/// Sorts the prefixes and returns whether one of them is assigned to two sites.
template <class Prefix>
bool has_conflict(std::vector<Prefix>& prefixes) {
    std::sort(prefixes.begin(), prefixes.end());
    const auto found =
        std::adjacent_find(prefixes.begin(), prefixes.end(), [](const Prefix& left, const Prefix& right) {
            return left.start == right.start && left.length == right.length && left.site != right.site;
        });
    return found != prefixes.end();
}

} // namespace

result<client_block_table> client_block_table::build(std::span<const client_block_configuration> blocks) {
    client_block_table table;
    std::unordered_map<std::string, std::uint16_t> site_indices;
    std::vector<prefix_array<std::uint32_t>::prefix> ipv4;
    std::vector<prefix_array<std::uint64_t>::prefix> ipv6;
    std::vector<prefix_array<wide_key>::prefix> long_ipv6;

    for (const client_block_configuration& item : blocks) {
        BOOST_OUTCOME_TRY(const client_block block, parse_client_block(item.prefix));
        if (table.m_sites.size() > std::numeric_limits<std::uint16_t>::max())
            return failure(error_code::invalid_argument, "client blocks name more than 65535 sites");
        const auto index = static_cast<std::uint16_t>(table.m_sites.size());
        const auto [site, added] = site_indices.try_emplace(item.site, index);
        if (added)
            table.m_sites.push_back(item.site);

        if (!block.address.is_ipv6)
            append<std::uint32_t>(ipv4, block, site->second);
        else if (block.length <= max_short_ipv6_length)
            append<std::uint64_t>(ipv6, block, site->second);
        else
            append<wide_key>(long_ipv6, block, site->second);
    }

    if (has_conflict(ipv4) || has_conflict(ipv6) || has_conflict(long_ipv6))
        return failure(error_code::conflict, "a client block is assigned to two sites");

    table.m_ipv4 = prefix_array<std::uint32_t>(std::move(ipv4));
    table.m_ipv6 = prefix_array<std::uint64_t>(std::move(ipv6));
    table.m_long_ipv6 = prefix_array<wide_key>(std::move(long_ipv6));
    return table;
}

std::optional<std::uint16_t> client_block_table::find_site(const client_address& address) const {
    if (!address.is_ipv6)
        return m_ipv4.find(leading_bytes<std::uint32_t>(address));
    if (const auto site = m_long_ipv6.find(leading_bytes<wide_key>(address)))
        return site;
    return m_ipv6.find(leading_bytes<std::uint64_t>(address));
}

std::optional<std::string_view> client_block_table::find(const client_address& address) const {
    const std::optional<std::uint16_t> site = find_site(address);
    if (!site)
        return std::nullopt;
    return m_sites[*site];
}

std::size_t client_block_table::size() const noexcept {
    return m_ipv4.size() + m_ipv6.size() + m_long_ipv6.size();
}

std::size_t client_block_table::memory_bytes() const noexcept {
    return m_ipv4.memory_bytes() + m_ipv6.memory_bytes() + m_long_ipv6.memory_bytes();
}

} // namespace ragworthinge
