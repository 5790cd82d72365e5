#include "requests/request_target.h"

#include "requests/percent_encoding.h"

#include <algorithm>

namespace ragworthinge {

namespace {

bool is_visible_ascii(char character) noexcept {
    return character > 0x20 && character < 0x7f;
}

/// Characters that some implementations treat as a separator or part of a dot segment after decoding.
bool is_forbidden_when_encoded(char character) noexcept {
    const auto value = static_cast<unsigned char>(character);
    return value < 0x20 || value == 0x7f || character == '/' || character == '\\' || character == '.' ||
           character == ';';
}

/// Lead bytes of overlong and out-of-range UTF-8 sequences, which can hide a slash or dot.
bool never_occurs_in_utf8(char character) noexcept {
    const auto value = static_cast<unsigned char>(character);
    return value == 0xc0 || value == 0xc1 || value >= 0xf5;
}

bool has_forbidden_escape(std::string_view path) {
    for (std::size_t position = path.find('%'); position < path.size(); position = path.find('%', position + 1)) {
        if (!has_percent_escape(path, position))
            continue;
        const char character = decode_percent(path.substr(position, 3)).front();
        if (is_forbidden_when_encoded(character) || never_occurs_in_utf8(character))
            return true;
    }
    return false;
}

bool has_escape(std::string_view path) {
    for (std::size_t position = path.find('%'); position < path.size(); position = path.find('%', position + 1)) {
        if (has_percent_escape(path, position))
            return true;
    }
    return false;
}

bool has_irregular_segment(std::string_view path) {
    std::size_t start = 1;
    while (start <= path.size()) {
        const std::size_t end = std::min(path.find('/', start), path.size());
        const std::string_view segment = path.substr(start, end - start);
        if (segment == "." || segment == "..")
            return true;
        // Only the last segment may be empty, because a path may end in a slash.
        if (segment.empty() && end != path.size())
            return true;
        start = end + 1;
    }
    return false;
}

} // namespace

admitted<request_target> request_target::parse(std::string_view target) {
    if (target.empty() || target.front() != '/')
        return refuse(refusal_kind::malformed_request, "the request target does not start with a slash");
    if (target.size() > max_target_bytes)
        return refuse(refusal_kind::malformed_request, "the request target is too long");
    if (!std::all_of(target.begin(), target.end(), is_visible_ascii) || target.find('#') != std::string_view::npos)
        return refuse(refusal_kind::malformed_request, "the request target has a forbidden character");

    const std::size_t question_mark = std::min(target.find('?'), target.size());
    const std::string_view raw_path = target.substr(0, question_mark);
    const auto path = decode_percent_strictly(raw_path);
    if (!path)
        return refuse(refusal_kind::ambiguous_path, "the path has a malformed percent escape");
    if (raw_path.find('\\') != std::string_view::npos || raw_path.find(';') != std::string_view::npos)
        return refuse(refusal_kind::ambiguous_path, "the path has a backslash or a path parameter");
    if (has_forbidden_escape(raw_path))
        return refuse(refusal_kind::ambiguous_path, "the path has a percent-encoded separator, dot or control byte");
    if (has_escape(*path))
        return refuse(refusal_kind::ambiguous_path, "the path is percent-encoded twice");
    if (has_irregular_segment(*path))
        return refuse(refusal_kind::ambiguous_path, "the path has an empty segment or a dot segment");

    request_target parsed;
    parsed.m_raw_path = raw_path;
    parsed.m_path = *path;
    if (question_mark < target.size())
        parsed.m_query = target.substr(question_mark + 1);
    return parsed;
}

} // namespace ragworthinge
