#include "routing/client_block_table.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>

#include <map>
#include <random>
#include <string>

using namespace ragworthinge;

namespace {

bool contains(const client_block& block, const client_address& address) {
    if (block.address.is_ipv6 != address.is_ipv6)
        return false;
    for (unsigned bit = 0; bit < block.length; ++bit) {
        const unsigned shift = 7 - bit % 8;
        if (((block.address.bytes[bit / 8] ^ address.bytes[bit / 8]) >> shift & 1) != 0)
            return false;
    }
    return true;
}

std::string text_of(const client_address& address) {
    char text[INET6_ADDRSTRLEN];
    return inet_ntop(address.is_ipv6 ? AF_INET6 : AF_INET, address.bytes.data(), text, sizeof text);
}

/// Generates addresses from few distinct byte values, so that blocks are often nested or equal.
client_address random_address(std::mt19937& random, bool is_ipv6) {
    client_address address;
    address.is_ipv6 = is_ipv6;
    for (std::size_t position = 0; position < (is_ipv6 ? 16U : 4U); ++position)
        address.bytes[position] = static_cast<std::uint8_t>(0xC0 * (random() % 2) + random() % 3);
    return address;
}

client_block_configuration random_block(std::mt19937& random) {
    const bool is_ipv6 = random() % 2 == 0;
    client_address address = random_address(random, is_ipv6);
    const unsigned length = random() % (is_ipv6 ? 129 : 33);
    for (unsigned bit = length; bit < 128; ++bit)
        address.bytes[bit / 8] &= static_cast<std::uint8_t>(~(0x80U >> bit % 8));
    return {text_of(address) + "/" + std::to_string(length), "site-" + std::to_string(random() % 220)};
}

} // namespace

// Guards against a wrong match among nested blocks by comparison with a linear scan for the longest prefix. More than
// 100 of the matches are found only through the parents of the last prefix that starts before the address.
TEST_CASE("longest prefix match equals a linear scan") {
    std::mt19937 random(77);
    int only_by_parent = 0;
    for (int round = 0; round < 20; ++round) {
        std::map<std::string, client_block_configuration> distinct;
        for (int index = 0; index < 400; ++index) {
            const auto block = random_block(random);
            distinct.emplace(block.prefix, block);
        }
        std::vector<client_block_configuration> blocks;
        for (const auto& [prefix, block] : distinct)
            blocks.push_back(block);
        const auto built = client_block_table::build(blocks);
        REQUIRE(built.has_value());
        REQUIRE(built.value().size() == blocks.size());

        for (int query = 0; query < 400; ++query) {
            const client_address address = random_address(random, query % 2 == 0);
            std::optional<std::string> expected;
            unsigned longest = 0;
            const client_block* last_start = nullptr;
            std::vector<client_block> parsed;
            for (const auto& item : blocks) {
                const client_block block = parse_client_block(item.prefix).value();
                const bool same_family = block.address.is_ipv6 == address.is_ipv6;
                if (same_family && block.address.bytes <= address.bytes)
                    parsed.push_back(block);
                if (!contains(block, address) || (expected && block.length < longest))
                    continue;
                expected = item.site;
                longest = block.length;
            }
            for (const client_block& block : parsed) {
                const bool later = last_start == nullptr || last_start->address.bytes < block.address.bytes;
                last_start = later ? &block : last_start;
            }
            only_by_parent += expected && last_start != nullptr && !contains(*last_start, address) ? 1 : 0;
            const auto found = built.value().find(address);
            REQUIRE(found.has_value() == expected.has_value());
            if (expected)
                REQUIRE(*found == *expected);
        }
    }
    REQUIRE(only_by_parent > 100);
}

// Guards against a malformed or ambiguous configuration being accepted, and against IPv4-mapped addresses not matching.
TEST_CASE("malformed and conflicting blocks are errors") {
    const auto built = [](std::vector<client_block_configuration> blocks) {
        return client_block_table::build(blocks);
    };
    for (const char* prefix : {"10.0.0.0", "10.0.0.0/33", "10.0.0.1/24", "10.0.0/8", "::/129", "::1/64", "x/8", "::/"})
        REQUIRE(built({{prefix, "north"}}).error().code == error_code::invalid_argument);
    REQUIRE(built({{"10.0.0.0/8", "north"}, {"10.0.0.0/8", "gulf"}}).error().code == error_code::conflict);
    REQUIRE(built({{"10.0.0.0/8", "north"}, {"10.0.0.0/8", "north"}}).value().size() == 1);

    const auto table = built({{"0.0.0.0/0", "north"}, {"::ffff:10.0.0.0/104", "gulf"}}).value();
    REQUIRE(table.find(parse_client_address("::ffff:10.1.2.3").value()) == "gulf");
    REQUIRE(table.find(parse_client_address("11.1.2.3").value()) == "north");
    REQUIRE_FALSE(table.find(parse_client_address("2001:db8::1").value()).has_value());
}
