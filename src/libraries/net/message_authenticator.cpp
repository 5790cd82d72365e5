#include "net/message_authenticator.h"

#include "base/digest.h"

#include <algorithm>
#include <cstring>

namespace ragworthinge {

namespace {

constexpr std::size_t nonce_bytes = sizeof(std::uint64_t);
constexpr std::size_t header_bytes = nonce_bytes + digest_bytes;

} // namespace

std::string message_authenticator::sign(std::uint64_t nonce, std::string_view payload) const {
    std::string signed_part(nonce_bytes, '\0');
    std::memcpy(signed_part.data(), &nonce, nonce_bytes);
    signed_part.append(payload);

    const digest signature = hmac_sha256(m_secret, signed_part);
    std::string message(reinterpret_cast<const char*>(signature.data()), signature.size());
    message.append(signed_part);
    return message;
}

result<message_authenticator::verified_message> message_authenticator::verify(std::string_view message) const {
    if (message.size() < header_bytes)
        return failure(error_code::unauthorized, "message is too short to contain nonce and digest");

    digest received{};
    std::memcpy(received.data(), message.data(), digest_bytes);
    const std::string_view signed_part = message.substr(digest_bytes);
    if (!equal_in_constant_time(received, hmac_sha256(m_secret, signed_part)))
        return failure(error_code::unauthorized, "message digest does not match the fleet secret");

    verified_message verified;
    std::memcpy(&verified.nonce, signed_part.data(), nonce_bytes);
    verified.payload = signed_part.substr(nonce_bytes);
    return verified;
}

} // namespace ragworthinge
