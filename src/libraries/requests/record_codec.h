#pragma once

#include "base/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace ragworthinge {

/// Encodes a record as a sequence of fields `length:bytes,`. The format needs no escapes, so stored responses do not
/// grow, and it is readable with the store's own tools.
class record_writer {
public:
    record_writer& add(std::string_view field);
    record_writer& add_number(std::int64_t number);

    const std::string& text() const noexcept { return m_text; }

private:
    std::string m_text;
};

/// Decodes the output of `record_writer`. Every error is protocol_violation and names the byte position.
class record_reader {
public:
    explicit record_reader(std::string_view text) : m_text(text) {}

    result<std::string> read();
    result<std::int64_t> read_number();

    /// Reads the next field and fails if it differs from `field`.
    result<void> expect(std::string_view field);

    /// Fails if there are unread bytes.
    result<void> finish() const;

private:
    std::string_view m_text;
    std::size_t m_position = 0;
};

} // namespace ragworthinge
