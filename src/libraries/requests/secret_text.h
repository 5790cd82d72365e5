#pragma once

#include <string>
#include <string_view>
#include <utility>

namespace ragworthinge {

/// Text that must never reach a log, a metric or a response. It has no conversions and no stream operator.
class secret_text {
public:
    secret_text() = default;
    explicit secret_text(std::string text) : m_text(std::move(text)) {}

    /// Returns the secret itself, for computing digests and for finding it in outgoing text.
    std::string_view reveal() const noexcept { return m_text; }

    bool empty() const noexcept { return m_text.empty(); }

private:
    std::string m_text;
};

} // namespace ragworthinge
