#include "configuration/path_prefix.h"

#include <algorithm>

namespace ragworthinge {

namespace {

bool is_plain_path_character(char letter) {
    const auto byte = static_cast<unsigned char>(letter);
    constexpr std::string_view refused = "?#%\\\"<>^`{|}";
    return byte > 0x20 && byte < 0x7F && refused.find(letter) == std::string_view::npos;
}

} // namespace

std::string path_prefix_fault(std::string_view prefix) {
    if (prefix.empty() || prefix.front() != '/')
        return "must start with '/'";
    if (!std::all_of(prefix.begin(), prefix.end(), is_plain_path_character))
        return "has a character that a path prefix cannot contain";
    if (prefix.find("//") != std::string_view::npos)
        return "has an empty segment";
    std::string_view rest = prefix;
    while (!rest.empty()) {
        rest.remove_prefix(1);
        const auto segment = rest.substr(0, rest.find('/'));
        if (segment == "." || segment == "..")
            return "has a relative segment";
        rest.remove_prefix(segment.size());
    }
    return {};
}

} // namespace ragworthinge
