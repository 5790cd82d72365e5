#include "base/encoding.h"

#include <openssl/evp.h>

#include <charconv>

namespace ragworthinge {

std::string encode_base64(std::string_view bytes) {
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int length =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                        reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

result<std::string> decode_base64(std::string_view text) {
    if (text.empty())
        return std::string{};
    if (text.size() % 4 != 0)
        return failure(error_code::invalid_argument, "base64 text has a length that is not a multiple of four");

    std::string bytes(3 * (text.size() / 4), '\0');
    const int length =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                        reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    if (length < 0)
        return failure(error_code::invalid_argument, "base64 text contains a character outside the alphabet");

    // EVP_DecodeBlock decodes the padding as zero bytes and counts them.
    std::size_t padding = 0;
    while (padding < 2 && text[text.size() - 1 - padding] == '=')
        ++padding;
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

std::string encode_hex(std::string_view bytes) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const char byte : bytes) {
        const auto value = static_cast<unsigned char>(byte);
        text.push_back(digits[value >> 4U]);
        text.push_back(digits[value & 0x0FU]);
    }
    return text;
}

result<std::string> decode_hex(std::string_view text) {
    if (text.size() % 2 != 0)
        return failure(error_code::invalid_argument, "hexadecimal text has an odd length");
    std::string bytes;
    bytes.reserve(text.size() / 2);
    for (std::size_t index = 0; index < text.size(); index += 2) {
        unsigned value = 0;
        const char* const first = text.data() + index;
        const auto [end, failed] = std::from_chars(first, first + 2, value, 16);
        if (failed != std::errc() || end != first + 2)
            return failure(error_code::invalid_argument,
                           "hexadecimal text contains a character that is not a hexadecimal digit");
        bytes.push_back(static_cast<char>(value));
    }
    return bytes;
}

} // namespace ragworthinge
