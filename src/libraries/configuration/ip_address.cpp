#include "configuration/ip_address.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>

namespace ragworthinge {

namespace {

result<unsigned> parse_number(std::string_view text, unsigned maximum) {
    unsigned value = 0;
    const auto [end, failed] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (failed != std::errc{} || end != text.data() + text.size() || value > maximum)
        return failure(error_code::invalid_argument, "must be a number of at most " + std::to_string(maximum));
    return value;
}

void clear_bits_beyond(ip_address& address, unsigned length) {
    for (unsigned bit = length; bit < address.bits(); ++bit)
        address.bytes.at(bit / 8) &= static_cast<unsigned char>(~(0x80U >> (bit % 8)));
}

} // namespace

bool ip_address::is_unspecified() const noexcept {
    return std::all_of(bytes.begin(), bytes.end(), [](unsigned char byte) { return byte == 0; });
}

bool ip_address::is_multicast() const noexcept {
    return is_v6 ? bytes[0] == 0xFF : (bytes[0] & 0xF0U) == 0xE0U;
}

result<ip_address> parse_ip_address(std::string_view text) {
    const std::string terminated(text);
    ip_address address;
    address.is_v6 = text.find(':') != std::string_view::npos;
    const bool has_zero_byte = text.find('\0') != std::string_view::npos;
    if (has_zero_byte || inet_pton(address.is_v6 ? AF_INET6 : AF_INET, terminated.c_str(), address.bytes.data()) != 1)
        return failure(error_code::invalid_argument, "is no IP number; names are not resolved");
    return address;
}

std::string to_text(const ip_address& address) {
    std::array<char, INET6_ADDRSTRLEN> text{};
    inet_ntop(address.is_v6 ? AF_INET6 : AF_INET, address.bytes.data(), text.data(), text.size());
    return text.data();
}

result<ip_endpoint> parse_ip_endpoint(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return failure(error_code::invalid_argument, "has no port; write IP:PORT");
    auto host = text.substr(0, colon);
    const bool bracketed = host.size() >= 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
        host = host.substr(1, host.size() - 2);
    if (!bracketed && host.find(':') != std::string_view::npos)
        return failure(error_code::invalid_argument, "write an IPv6 number in brackets: [IP]:PORT");
    BOOST_OUTCOME_TRY(const auto address, parse_ip_address(host));
    const auto port = parse_number(text.substr(colon + 1), 65535);
    if (!port || port.value() == 0)
        return failure(error_code::invalid_argument, "has a port that is not between 1 and 65535");
    return ip_endpoint{to_text(address), static_cast<std::uint16_t>(port.value())};
}

std::string to_text(const ip_endpoint& endpoint) {
    const bool is_v6 = endpoint.address.find(':') != std::string::npos;
    return (is_v6 ? "[" + endpoint.address + "]" : endpoint.address) + ":" + std::to_string(endpoint.port);
}

result<ip_prefix> parse_ip_prefix(std::string_view text) {
    const auto slash = text.find('/');
    if (slash == std::string_view::npos)
        return failure(error_code::invalid_argument, "has no length; write ADDRESS/LENGTH");
    BOOST_OUTCOME_TRY(const auto address, parse_ip_address(text.substr(0, slash)));
    const auto length = parse_number(text.substr(slash + 1), address.bits());
    if (!length)
        return failure(error_code::invalid_argument,
                       "has a length that is not between 0 and " + std::to_string(address.bits()));
    ip_prefix prefix{address, length.value()};
    clear_bits_beyond(prefix.address, prefix.length);
    if (prefix.address != address)
        return failure(error_code::invalid_argument, "has bits set beyond its length; write " + to_text(prefix));
    return prefix;
}

std::string to_text(const ip_prefix& prefix) {
    return to_text(prefix.address) + "/" + std::to_string(prefix.length);
}

} // namespace ragworthinge
