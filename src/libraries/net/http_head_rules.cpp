#include "net/http_head_rules.h"

#include <cstddef>

namespace ragworthinge {

namespace {

bool is_space_or_tab(char letter) noexcept {
    return letter == ' ' || letter == '\t';
}

} // namespace

raw_head_state check_raw_head(std::string_view text) noexcept {
    std::size_t line_start = 0;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const char letter = text[index];
        if (letter == '\0')
            return raw_head_state::malformed;
        if (letter == '\r' && index + 1 < text.size() && text[index + 1] != '\n')
            return raw_head_state::malformed;
        if (index == line_start && is_space_or_tab(letter))
            return raw_head_state::malformed;
        if (letter != '\n')
            continue;

        if (index == 0 || text[index - 1] != '\r')
            return raw_head_state::malformed;
        const bool empty_line = index - line_start == 1;
        if (empty_line)
            return line_start == 0 ? raw_head_state::malformed : raw_head_state::complete;
        line_start = index + 1;
    }
    return raw_head_state::incomplete;
}

} // namespace ragworthinge
