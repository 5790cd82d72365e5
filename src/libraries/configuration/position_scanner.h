#pragma once

#include "configuration/finding.h"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace ragworthinge {

/// Where a value and, if it is the member of an object, its name stand.
struct document_place {
    text_position name; ///< Equal to `value` for array elements and for the whole document.
    text_position value;
};

/// Walks a text that is already known to be valid JSON with comments and reports the place of every value, because
/// Boost.JSON gives no positions.
class position_scanner {
public:
    /// Receives the path and place of a value; `duplicate` is set if the object has an earlier member of that name.
    using visitor = std::function<void(const std::string& path, const document_place& place, bool duplicate)>;

    position_scanner(std::string_view text, const visitor& on_value) : m_text(text), m_on_value(on_value) {}

    void scan();

private:
    bool at_end() const { return m_offset >= m_text.size(); }
    char peek() const { return at_end() ? '\0' : m_text[m_offset]; }
    void advance();
    void skip_blank();
    void skip_line_comment();
    void skip_block_comment();
    std::string_view take_string();
    void scan_value(text_position name, bool duplicate);
    void scan_object();
    void scan_array();
    void skip_scalar();

    std::string_view m_text;
    const visitor& m_on_value;
    std::size_t m_offset = 0;
    text_position m_position{1, 1};
    std::string m_path;
};

/// Position of the byte at `offset`.
text_position position_at(std::string_view text, std::size_t offset);

} // namespace ragworthinge
