#include "requests/percent_encoding.h"

#include <algorithm>
#include <array>

namespace ragworthinge {

namespace {

constexpr auto lower_case_table = [] {
    std::array<char, 256> table{};
    for (std::size_t code = 0; code < table.size(); ++code)
        table[code] = static_cast<char>(code >= 'A' && code <= 'Z' ? code - 'A' + 'a' : code);
    return table;
}();

char to_lower_ascii(char character) noexcept {
    return lower_case_table[static_cast<unsigned char>(character)];
}

} // namespace

std::optional<unsigned> hex_digit_value(char digit) noexcept {
    if (digit >= '0' && digit <= '9')
        return static_cast<unsigned>(digit - '0');
    if (digit >= 'a' && digit <= 'f')
        return static_cast<unsigned>(digit - 'a') + 10;
    if (digit >= 'A' && digit <= 'F')
        return static_cast<unsigned>(digit - 'A') + 10;
    return std::nullopt;
}

bool has_percent_escape(std::string_view text, std::size_t position) noexcept {
    return position + 2 < text.size() && text[position] == '%' && hex_digit_value(text[position + 1]) &&
           hex_digit_value(text[position + 2]);
}

std::string decode_percent(std::string_view text) {
    if (text.find('%') == std::string_view::npos)
        return std::string(text);
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t position = 0; position < text.size(); ++position) {
        if (!has_percent_escape(text, position)) {
            decoded.push_back(text[position]);
            continue;
        }
        const unsigned high = *hex_digit_value(text[position + 1]);
        const unsigned low = *hex_digit_value(text[position + 2]);
        decoded.push_back(static_cast<char>(high * 16 + low));
        position += 2;
    }
    return decoded;
}

std::optional<std::string> decode_percent_strictly(std::string_view text) {
    for (std::size_t position = text.find('%'); position < text.size(); position = text.find('%', position + 1)) {
        if (!has_percent_escape(text, position))
            return std::nullopt;
    }
    return decode_percent(text);
}

std::string decode_percent_fully(std::string_view text) {
    // Each pass that changes the text also shortens it, so the loop terminates.
    std::string decoded(text);
    while (decoded.find('%') != std::string::npos) {
        std::string next = decode_percent(decoded);
        if (next.size() == decoded.size())
            break;
        decoded = std::move(next);
    }
    return decoded;
}

std::string lower_case(std::string_view text) {
    std::string lowered(text);
    std::transform(lowered.begin(), lowered.end(), lowered.begin(), to_lower_ascii);
    return lowered;
}

bool contains_ignoring_case(std::string_view text, std::string_view lowered) noexcept {
    const auto equal = [](char left, char right) {
        return to_lower_ascii(left) == right;
    };
    return std::search(text.begin(), text.end(), lowered.begin(), lowered.end(), equal) != text.end();
}

} // namespace ragworthinge
