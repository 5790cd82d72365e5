#include "requests/keyed_hash.h"

#include <array>

namespace ragworthinge {

namespace {

/// Returns the SHA-256 state after hashing the padded secret with each byte XORed with the mask (RFC 2104).
SHA256_CTX start_state(std::string_view padded_secret, unsigned char mask) {
    std::array<unsigned char, SHA256_CBLOCK> block{};
    block.fill(mask);
    for (std::size_t index = 0; index < padded_secret.size(); ++index)
        block[index] ^= static_cast<unsigned char>(padded_secret[index]);
    SHA256_CTX state{};
    SHA256_Init(&state);
    SHA256_Update(&state, block.data(), block.size());
    return state;
}

} // namespace

keyed_hash::keyed_hash(const secret_text& secret) {
    constexpr unsigned char inner_mask = 0x36;
    constexpr unsigned char outer_mask = 0x5c;
    std::string_view bytes = secret.reveal();
    const digest hashed = sha256(bytes);
    // A secret that is longer than a block is replaced by its digest.
    if (bytes.size() > SHA256_CBLOCK)
        bytes = {reinterpret_cast<const char*>(hashed.data()), hashed.size()};
    m_inner = start_state(bytes, inner_mask);
    m_outer = start_state(bytes, outer_mask);
}

digest keyed_hash::operator()(std::string_view bytes) const {
    digest value{};
    SHA256_CTX inner = m_inner;
    SHA256_Update(&inner, bytes.data(), bytes.size());
    SHA256_Final(value.data(), &inner);
    SHA256_CTX outer = m_outer;
    SHA256_Update(&outer, value.data(), value.size());
    SHA256_Final(value.data(), &outer);
    return value;
}

} // namespace ragworthinge
