#include "base/digest.h"

#include "base/encoding.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

namespace ragworthinge {

digest sha256(std::string_view bytes) {
    digest value{};
    SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), value.data());
    return value;
}

digest hmac_sha256(std::string_view secret, std::string_view bytes) {
    digest value{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), value.data(), &length);
    return value;
}

bool equal_in_constant_time(const digest& left, const digest& right) noexcept {
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string to_hex(const digest& value) {
    return encode_hex({reinterpret_cast<const char*>(value.data()), value.size()});
}

} // namespace ragworthinge
