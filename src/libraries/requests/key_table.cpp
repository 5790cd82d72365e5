#include "requests/key_table.h"

#include "requests/percent_encoding.h"

#include <bit>
#include <cstring>
#include <optional>

namespace ragworthinge {

namespace {

std::optional<digest> parse_hex_digest(std::string_view text) {
    if (text.size() != 2 * digest_bytes)
        return std::nullopt;
    digest parsed_digest{};
    for (std::size_t index = 0; index < digest_bytes; ++index) {
        const auto high = hex_digit_value(text[2 * index]);
        const auto low = hex_digit_value(text[2 * index + 1]);
        if (!high || !low)
            return std::nullopt;
        parsed_digest[index] = static_cast<unsigned char>(*high * 16 + *low);
    }
    return parsed_digest;
}

} // namespace

result<key_table> key_table::create(const std::vector<key_configuration>& keys, const secret_text& fleet_secret) {
    if (fleet_secret.empty())
        return failure(error_code::invalid_argument, "the fleet secret is empty");

    key_table table;
    table.m_hash = keyed_hash(fleet_secret);
    table.m_slots.resize(std::bit_ceil(2 * keys.size() + 2));
    table.m_digests.reserve(keys.size());
    table.m_owners.reserve(keys.size());
    for (const key_configuration& configured : keys) {
        const auto parsed_digest = parse_hex_digest(configured.digest);
        if (!parsed_digest)
            return failure(error_code::invalid_argument,
                           "the digest of key \"" + configured.id + "\" is not 64 hexadecimal digits");
        if (table.find(*parsed_digest) != nullptr)
            return failure(error_code::invalid_argument,
                           "key \"" + configured.id + "\" has the same digest as another key");

        table.m_digests.push_back(*parsed_digest);
        table.m_owners.push_back({configured.id, configured.account});
        std::size_t position = table.first_slot(*parsed_digest);
        while (table.m_slots[position] != 0)
            position = (position + 1) & (table.m_slots.size() - 1);
        table.m_slots[position] = static_cast<std::uint32_t>(table.m_digests.size());
    }
    return table;
}

digest key_table::digest_of(const secret_text& key) const {
    return m_hash(key.reveal());
}

const key_owner* key_table::find(const secret_text& key) const {
    if (key.reveal().size() < min_key_bytes)
        return nullptr;
    return find(digest_of(key));
}

const key_owner* key_table::find(const digest& key_digest) const noexcept {
    // The slot depends only on the keyed digest, which a caller cannot compute, so the number of probes reveals nothing
    // about stored keys. The comparison takes constant time, so timing does not reveal matching prefixes.
    const key_owner* found = nullptr;
    for (std::size_t position = first_slot(key_digest); m_slots[position] != 0;
         position = (position + 1) & (m_slots.size() - 1)) {
        const std::uint32_t index = m_slots[position] - 1;
        if (equal_in_constant_time(m_digests[index], key_digest))
            found = &m_owners[index];
    }
    return found;
}

std::size_t key_table::first_slot(const digest& key_digest) const noexcept {
    std::uint64_t prefix = 0;
    std::memcpy(&prefix, key_digest.data(), sizeof prefix);
    return static_cast<std::size_t>(prefix) & (m_slots.size() - 1);
}

} // namespace ragworthinge
