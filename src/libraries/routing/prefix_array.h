#pragma once

#include <algorithm>
#include <cassert>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

namespace ragworthinge {

/// Sorted prefixes of one address width, each with the index of a site, for longest prefix match.
///
/// The fields are stored in separate arrays, which takes 7 bytes per prefix besides the key and needs no padding, and
/// the binary search reads only the keys. Either the last prefix that starts at or before an address is the longest
/// match, or one of its ancestors is, so each prefix stores the index of its parent.
template <class Key>
class prefix_array {
public:
    struct prefix {
        Key start{};
        std::uint8_t length = 0; ///< Significant bits of the key.
        std::uint16_t site = 0;

        /// Orders enclosing prefixes before the prefixes that they contain.
        bool operator<(const prefix& other) const {
            if (start != other.start)
                return start < other.start;
            return length != other.length ? length < other.length : site < other.site;
        }
    };

    static constexpr unsigned key_bits = sizeof(Key) * 8;

    /// Builds the array. Of equal prefixes, the one with the lowest site index is kept; the caller rejects conflicts.
    explicit prefix_array(std::vector<prefix> prefixes = {}) {
        std::sort(prefixes.begin(), prefixes.end());
        const auto same = [](const prefix& left, const prefix& right) {
            return left.start == right.start && left.length == right.length;
        };
        prefixes.erase(std::unique(prefixes.begin(), prefixes.end(), same), prefixes.end());
        m_starts.reserve(prefixes.size());
        m_lengths.reserve(prefixes.size());
        m_sites.reserve(prefixes.size());
        m_parents.reserve(prefixes.size());

        std::vector<std::uint32_t> enclosing;
        for (const prefix& item : prefixes) {
            while (!enclosing.empty() && !contains(enclosing.back(), item.start))
                enclosing.pop_back();
            m_parents.push_back(enclosing.empty() ? no_parent : enclosing.back());
            m_starts.push_back(item.start);
            m_lengths.push_back(item.length);
            m_sites.push_back(item.site);
            enclosing.push_back(static_cast<std::uint32_t>(m_starts.size() - 1));
        }
    }

    /// Returns the site index of the longest prefix that contains the address, or nullopt.
    std::optional<std::uint16_t> find(Key address) const {
        const auto after = std::upper_bound(m_starts.begin(), m_starts.end(), address);
        if (after == m_starts.begin())
            return std::nullopt;
        auto index = static_cast<std::uint32_t>(after - m_starts.begin() - 1);
        while (index != no_parent) {
            if (contains(index, address))
                return m_sites[index];
            index = m_parents[index];
        }
        return std::nullopt;
    }

    std::size_t size() const noexcept { return m_starts.size(); }

    std::size_t memory_bytes() const noexcept {
        return m_starts.capacity() * sizeof(Key) + m_lengths.capacity() * sizeof(std::uint8_t) +
               m_sites.capacity() * sizeof(std::uint16_t) + m_parents.capacity() * sizeof(std::uint32_t);
    }

private:
    static constexpr std::uint32_t no_parent = std::numeric_limits<std::uint32_t>::max();

    bool contains(std::uint32_t index, Key address) const {
        const unsigned length = m_lengths[index];
        if (length == 0)
            return true;
        return (address ^ m_starts[index]) >> (key_bits - length) == 0;
    }

    std::vector<Key> m_starts;
    std::vector<std::uint8_t> m_lengths;
    std::vector<std::uint16_t> m_sites;
    std::vector<std::uint32_t> m_parents;
};

} // namespace ragworthinge
