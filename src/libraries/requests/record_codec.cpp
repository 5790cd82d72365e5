#include "requests/record_codec.h"

#include <charconv>

namespace ragworthinge {

namespace {

auto malformed_record(std::size_t position, std::string_view problem) {
    return failure(error_code::protocol_violation,
                   "stored record, byte " + std::to_string(position) + ": " + std::string(problem));
}

/// Parses a number and rejects leading zeros and plus signs, so that every record has exactly one encoding.
bool parse_canonical(std::string_view digits, std::int64_t& number) {
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    return parsed.ec == std::errc{} && std::to_string(number) == digits;
}

} // namespace

record_writer& record_writer::add(std::string_view field) {
    m_text += std::to_string(field.size());
    m_text += ':';
    m_text += field;
    m_text += ',';
    return *this;
}

record_writer& record_writer::add_number(std::int64_t number) {
    return add(std::to_string(number));
}

result<std::string> record_reader::read() {
    const std::size_t colon = m_text.find(':', m_position);
    // No valid length has more digits; the limit also rejects a corrupt record whose next colon is far away.
    constexpr std::size_t max_length_digits = 8;
    if (colon == std::string_view::npos || colon - m_position > max_length_digits)
        return malformed_record(m_position, "no field length");
    std::int64_t length = 0;
    if (!parse_canonical(m_text.substr(m_position, colon - m_position), length) || length < 0)
        return malformed_record(m_position, "malformed field length");

    const std::size_t start = colon + 1;
    const auto size = static_cast<std::size_t>(length);
    if (size >= m_text.size() - start || m_text[start + size] != ',')
        return malformed_record(m_position, "field does not end where its length says");
    m_position = start + size + 1;
    return std::string(m_text.substr(start, size));
}

result<std::int64_t> record_reader::read_number() {
    const std::size_t position = m_position;
    BOOST_OUTCOME_TRY(const std::string digits, read());
    std::int64_t number = 0;
    if (!parse_canonical(digits, number))
        return malformed_record(position, "malformed number");
    return number;
}

result<void> record_reader::expect(std::string_view field) {
    const std::size_t position = m_position;
    BOOST_OUTCOME_TRY(const std::string found, read());
    if (found != field)
        return malformed_record(position, "expected \"" + std::string(field) + "\"");
    return boost::outcome_v2::success();
}

result<void> record_reader::finish() const {
    if (m_position != m_text.size())
        return malformed_record(m_position, "bytes after the last field");
    return boost::outcome_v2::success();
}

} // namespace ragworthinge
