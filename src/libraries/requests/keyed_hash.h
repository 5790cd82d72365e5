#pragma once

#include "base/digest.h"
#include "requests/secret_text.h"

#include <openssl/sha.h>

#include <string_view>

namespace ragworthinge {

/// HMAC-SHA-256 with a fixed secret. The two hash states that depend only on the secret are computed once, because
/// OpenSSL's one-shot HMAC function spends more time on its set-up than on hashing a key.
class keyed_hash {
public:
    keyed_hash() : keyed_hash(secret_text()) {}
    explicit keyed_hash(const secret_text& secret);

    /// Returns the same digest as `hmac_sha256(secret, bytes)`.
    digest operator()(std::string_view bytes) const;

private:
    SHA256_CTX m_inner{};
    SHA256_CTX m_outer{};
};

} // namespace ragworthinge
