#include "configuration/position_scanner.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <unordered_set>

namespace ragworthinge {

namespace {

bool is_continuation_byte(char byte) {
    return (static_cast<unsigned char>(byte) & 0xC0U) == 0x80U;
}

void step(text_position& position, char byte) {
    if (byte == '\n') {
        ++position.line;
        position.column = 1;
        return;
    }
    if (!is_continuation_byte(byte))
        ++position.column;
}

/// Names of an object's members so far. Most objects have few, for which a list is faster than hashing.
class member_names {
public:
    /// False if the name was added before.
    bool add(const std::string& name) {
        if (m_many.empty() && std::find(m_few.begin(), m_few.end(), name) != m_few.end())
            return false;
        if (m_many.empty() && m_few.size() < most_in_list) {
            m_few.push_back(name);
            return true;
        }
        if (m_many.empty())
            m_many.insert(m_few.begin(), m_few.end());
        return m_many.insert(name).second;
    }

private:
    static constexpr std::size_t most_in_list = 16;
    std::vector<std::string> m_few;
    std::unordered_set<std::string> m_many;
};

std::string unescape(std::string_view quoted) {
    if (quoted.find('\\') == std::string_view::npos)
        return std::string(quoted.substr(1, quoted.size() - 2));
    boost::system::error_code failed;
    const auto value = boost::json::parse(quoted, failed);
    if (failed || !value.is_string())
        return std::string(quoted);
    return {value.get_string().data(), value.get_string().size()};
}

} // namespace

text_position position_at(std::string_view text, std::size_t offset) {
    text_position position{1, 1};
    for (const char byte : text.substr(0, offset))
        step(position, byte);
    return position;
}

void position_scanner::scan() {
    skip_blank();
    scan_value(m_position, false);
}

void position_scanner::advance() {
    step(m_position, m_text[m_offset]);
    ++m_offset;
}

void position_scanner::skip_blank() {
    while (!at_end()) {
        const char next = peek();
        if (next == ' ' || next == '\t' || next == '\r' || next == '\n')
            advance();
        else if (next == '/' && m_offset + 1 < m_text.size() && m_text[m_offset + 1] == '/')
            skip_line_comment();
        else if (next == '/')
            skip_block_comment();
        else
            return;
    }
}

void position_scanner::skip_line_comment() {
    while (!at_end() && peek() != '\n')
        advance();
}

void position_scanner::skip_block_comment() {
    const auto end = m_text.find("*/", m_offset + 2);
    const auto stop = end == std::string_view::npos ? m_text.size() : end + 2;
    while (m_offset < stop)
        advance();
}

std::string_view position_scanner::take_string() {
    const auto start = m_offset;
    advance();
    while (!at_end() && peek() != '"') {
        if (peek() == '\\')
            advance();
        if (!at_end())
            advance();
    }
    if (!at_end())
        advance();
    return m_text.substr(start, m_offset - start);
}

void position_scanner::scan_value(text_position name, bool duplicate) {
    m_on_value(m_path, {name, m_position}, duplicate);
    if (peek() == '{')
        scan_object();
    else if (peek() == '[')
        scan_array();
    else if (peek() == '"')
        take_string();
    else
        skip_scalar();
}

void position_scanner::scan_object() {
    const auto path_length = m_path.size();
    member_names seen;
    advance();
    for (skip_blank(); !at_end() && peek() == '"'; skip_blank()) {
        const auto name_position = m_position;
        const auto name = unescape(take_string());
        skip_blank();
        if (!at_end())
            advance(); // The colon.
        skip_blank();
        if (path_length != 0)
            m_path += '.';
        m_path += name;
        scan_value(name_position, !seen.add(name));
        m_path.resize(path_length);
        skip_blank();
        if (peek() == ',')
            advance();
    }
    if (!at_end())
        advance();
}

void position_scanner::scan_array() {
    const auto path_length = m_path.size();
    std::size_t index = 0;
    advance();
    for (skip_blank(); !at_end() && peek() != ']'; skip_blank()) {
        m_path += "[" + std::to_string(index++) + "]";
        scan_value(m_position, false);
        m_path.resize(path_length);
        skip_blank();
        if (peek() == ',')
            advance();
    }
    if (!at_end())
        advance();
}

void position_scanner::skip_scalar() {
    constexpr std::string_view scalar_end = ",]}/ \t\r\n";
    while (!at_end() && scalar_end.find(peek()) == std::string_view::npos)
        advance();
}

} // namespace ragworthinge
