#include "routing/client_address.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <string>

namespace ragworthinge {

namespace {

constexpr std::size_t ipv4_mapped_prefix_bytes = 12;
constexpr unsigned ipv4_mapped_prefix_bits = 96;
constexpr std::array<std::uint8_t, ipv4_mapped_prefix_bytes> ipv4_mapped_prefix{0, 0, 0, 0, 0,    0,
                                                                                0, 0, 0, 0, 0xff, 0xff};

bool is_ipv4_mapped(const client_address& address) {
    return std::equal(ipv4_mapped_prefix.begin(), ipv4_mapped_prefix.end(), address.bytes.begin());
}

client_address to_ipv4(const client_address& address) {
    client_address result;
    std::copy(address.bytes.begin() + ipv4_mapped_prefix_bytes, address.bytes.end(), result.bytes.begin());
    return result;
}

bool has_bits_after_prefix(const client_block& block) {
    const unsigned bits = block.address.is_ipv6 ? 128 : 32;
    for (unsigned bit = block.length; bit < bits; ++bit) {
        if ((block.address.bytes[bit / 8] >> (7 - bit % 8) & 1U) != 0)
            return true;
    }
    return false;
}

/// Parses an address without converting IPv4-mapped ones, because a prefix length refers to the textual form.
result<client_address> parse_as_written(std::string_view text) {
    const std::string terminated(text);
    client_address address;
    if (inet_pton(AF_INET, terminated.c_str(), address.bytes.data()) == 1)
        return address;
    address.is_ipv6 = true;
    if (inet_pton(AF_INET6, terminated.c_str(), address.bytes.data()) == 1)
        return address;
    return failure(error_code::invalid_argument, "not an IP address: " + terminated);
}

} // namespace

result<client_address> parse_client_address(std::string_view text) {
    BOOST_OUTCOME_TRY(const client_address address, parse_as_written(text));
    return address.is_ipv6 && is_ipv4_mapped(address) ? to_ipv4(address) : address;
}

result<client_block> parse_client_block(std::string_view text) {
    const std::size_t slash = text.find('/');
    if (slash == std::string_view::npos)
        return failure(error_code::invalid_argument, "no prefix length in " + std::string(text));

    client_block block;
    BOOST_OUTCOME_TRY(block.address, parse_as_written(text.substr(0, slash)));
    const std::string_view digits = text.substr(slash + 1);
    const char* const end = digits.data() + digits.size();
    const auto [parse_end, parse_error] = std::from_chars(digits.data(), end, block.length);
    const unsigned max_length = block.address.is_ipv6 ? 128 : 32;
    if (parse_error != std::errc{} || parse_end != end || block.length > max_length)
        return failure(error_code::invalid_argument, "prefix length out of range in " + std::string(text));
    if (has_bits_after_prefix(block))
        return failure(error_code::invalid_argument, "bits after the prefix are set in " + std::string(text));

    if (block.address.is_ipv6 && is_ipv4_mapped(block.address) && block.length >= ipv4_mapped_prefix_bits) {
        block.address = to_ipv4(block.address);
        block.length -= ipv4_mapped_prefix_bits;
    }
    return block;
}

} // namespace ragworthinge
