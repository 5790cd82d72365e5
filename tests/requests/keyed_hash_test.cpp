#include "requests/keyed_hash.h"

#include <catch2/catch.hpp>

using namespace ragworthinge;

// Guards against digests that differ from those in the configuration, which would make every key invalid.
TEST_CASE("the keyed hash equals HMAC-SHA-256 for secrets and keys of every length") {
    for (std::size_t secret_length = 1; secret_length <= 200; ++secret_length) {
        const std::string secret(secret_length, static_cast<char>(secret_length * 31));
        const keyed_hash hash{secret_text(secret)};
        for (std::size_t length = 0; length <= 130; length += 13)
            REQUIRE(hash(std::string(length, 'k')) == hmac_sha256(secret, std::string(length, 'k')));
    }
}
