#include "base/encoding.h"

#include <catch2/catch.hpp>

#include <string>

using namespace ragworthinge;

// Guards against padding decoded as data, which would append zero bytes to stored values.
TEST_CASE("a base64 round trip preserves every length and byte") {
    std::string bytes;
    for (int length = 0; length < 300; ++length) {
        const auto decoded = decode_base64(encode_base64(bytes));
        REQUIRE(decoded.has_value());
        REQUIRE(decoded.value() == bytes);
        bytes.push_back(static_cast<char>(length * 37));
    }
}

// Guards against a malformed store response being taken for a value.
TEST_CASE("malformed base64 is an error") {
    REQUIRE_FALSE(decode_base64("abc").has_value());
    REQUIRE_FALSE(decode_base64("ab*=").has_value());
}
