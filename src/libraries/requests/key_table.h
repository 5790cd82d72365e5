#pragma once

#include "base/digest.h"
#include "base/result.h"
#include "configuration/fleet_configuration.h"
#include "requests/keyed_hash.h"
#include "requests/secret_text.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ragworthinge {

/// Minimum length of a valid key. The header filter removes every occurrence of a carried key from the forwarded text,
/// which would damage requests if a key were a common short word.
inline constexpr std::size_t min_key_bytes = 8;

/// Public name of a key and the client account that owns it.
struct key_owner {
    std::string id; ///< Public name of the key.
    account_id account;
};

/// Immutable snapshot of the keys of one configuration revision.
class key_table {
public:
    /// Fails with invalid_argument if a digest is not 64 hexadecimal digits or occurs twice.
    static result<key_table> create(const std::vector<key_configuration>& keys, const secret_text& fleet_secret);

    /// Returns the owner of the key, or null. The pointer is valid as long as the table.
    const key_owner* find(const secret_text& key) const;

    /// Looks up a digest computed earlier, for example when an open stream is checked against a newer table.
    const key_owner* find(const digest& key_digest) const noexcept;

    /// Returns the HMAC of a key under the fleet secret.
    digest digest_of(const secret_text& key) const;

    std::size_t size() const noexcept { return m_owners.size(); }

private:
    key_table() = default;
    std::size_t first_slot(const digest& key_digest) const noexcept;

    keyed_hash m_hash; ///< HMAC under the fleet secret.
    std::vector<digest> m_digests;
    std::vector<key_owner> m_owners; ///< Same order as `m_digests`.

    /// Hash table with open addressing: index of a digest plus one, or zero for a free slot. The size is a power of two
    /// and at least twice the number of keys. Digests are stored outside the slots, because otherwise free slots would
    /// take most of the memory.
    std::vector<std::uint32_t> m_slots;
};

} // namespace ragworthinge
