#include "requests/key_table.h"

#include <catch2/catch.hpp>

using namespace ragworthinge;

namespace {

const std::string secret = "fleet secret of the test";

key_configuration configured(int number) {
    const std::string key = "key-number-" + std::to_string(number);
    return {"k" + std::to_string(number), "account" + std::to_string(number % 8), to_hex(hmac_sha256(secret, key))};
}

} // namespace

// Guards against a lookup that returns another key's owner when digests share a slot.
TEST_CASE("every configured key finds its owner and an unknown key finds none") {
    std::vector<key_configuration> keys;
    for (int number = 0; number < 3000; ++number)
        keys.push_back(configured(number));
    const auto table = key_table::create(keys, secret_text(secret));
    REQUIRE(table.has_value());
    for (int number = 0; number < 3000; ++number) {
        const key_owner* owner = table.value().find(secret_text("key-number-" + std::to_string(number)));
        REQUIRE(owner != nullptr);
        REQUIRE(owner->id == "k" + std::to_string(number));
        REQUIRE(owner->account == "account" + std::to_string(number % 8));
        REQUIRE(table.value().find(secret_text("wrong-number-" + std::to_string(number))) == nullptr);
    }
}

// Guards against comparing only digest prefixes: these digests differ in the last byte but share the first slot.
TEST_CASE("digests that differ only in their last byte have different owners") {
    std::vector<key_configuration> keys;
    for (const char* last : {"00", "01", "02"})
        keys.push_back({last, last, std::string(62, 'a') + last});
    const auto table = key_table::create(keys, secret_text(secret));
    REQUIRE(table.has_value());
    digest probe{};
    probe.fill(0xaa);
    for (unsigned char last = 0; last < 3; ++last) {
        probe.back() = last;
        REQUIRE(table.value().find(probe)->id == "0" + std::to_string(last));
    }
    probe.back() = 3;
    REQUIRE(table.value().find(probe) == nullptr);
}

// Guards against silently accepting unusable digests, and against an empty or very short key being valid.
TEST_CASE("malformed and duplicate digests are errors and short keys are wrong") {
    REQUIRE_FALSE(key_table::create({{"a", "x", "12"}}, secret_text(secret)).has_value());
    REQUIRE_FALSE(key_table::create({{"a", "x", std::string(64, 'g')}}, secret_text(secret)).has_value());
    REQUIRE_FALSE(key_table::create({configured(1), configured(1)}, secret_text(secret)).has_value());
    REQUIRE_FALSE(key_table::create({}, secret_text("")).has_value());
    const auto table = key_table::create({{"a", "x", to_hex(hmac_sha256(secret, "short"))}}, secret_text(secret));
    REQUIRE(table.value().find(secret_text("short")) == nullptr);
    REQUIRE(table.value().find(secret_text("")) == nullptr);
}
