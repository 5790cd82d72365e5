#pragma once

#include "base/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace ragworthinge {

/// Signs and verifies messages between hosts with HMAC-SHA-256 under the fleet secret. A reply carries the nonce of its
/// request, so that a replayed reply is detected.
class message_authenticator {
public:
    explicit message_authenticator(std::string secret) : m_secret(std::move(secret)) {}

    /// Returns the payload prefixed with digest and nonce.
    std::string sign(std::uint64_t nonce, std::string_view payload) const;

    /// Content of a message whose digest was verified.
    struct verified_message {
        std::uint64_t nonce = 0;
        std::string payload;
    };

    /// Verifies the digest and extracts nonce and payload. Fails with unauthorized.
    result<verified_message> verify(std::string_view message) const;

private:
    std::string m_secret;
};

} // namespace ragworthinge
