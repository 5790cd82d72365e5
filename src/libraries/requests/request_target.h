#pragma once

#include "requests/refusal.h"

#include <string>
#include <string_view>

namespace ragworthinge {

inline constexpr std::size_t max_target_bytes = 8192;

/// Request target that is accepted only if every HTTP implementation interprets its path in the same way.
class request_target {
public:
    /// Refuses with ambiguous_path if the path has an empty segment, a dot segment, a path parameter (`;`), a
    /// backslash, a percent-encoded slash, dot, backslash, semicolon or control character, double encoding, or a byte
    /// that cannot occur in UTF-8. Refuses with malformed_request anything but an origin-form target of visible ASCII
    /// characters.
    static admitted<request_target> parse(std::string_view target);

    /// Path as sent, without the query.
    const std::string& raw_path() const noexcept { return m_raw_path; }

    /// Path with all percent escapes decoded; routes are matched against this form.
    const std::string& path() const noexcept { return m_path; }

    /// Query as sent, without the question mark.
    const std::string& query() const noexcept { return m_query; }

private:
    request_target() = default;

    std::string m_raw_path;
    std::string m_path;
    std::string m_query;
};

} // namespace ragworthinge
