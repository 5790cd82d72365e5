#pragma once

#include "base/http_message.h"
#include "base/result.h"
#include "requests/record_codec.h"

#include <string>
#include <string_view>

namespace ragworthinge {

/// Maximum size of header fields and body together. The store holds the responses of 72 hours, which bounds the size.
inline constexpr std::size_t max_stored_response_bytes = 16ULL * 1024;

/// Stored form of a complete upstream response, used to replay it.
struct stored_response {
    unsigned status = 0;
    bool kept = false; ///< False if the response exceeded the limit; fields and body are then empty.
    http_fields fields;
    std::string body;

    /// Creates the record of a response with its complete body. Hop-by-hop fields are omitted.
    static stored_response from_response(const http_response_head& head, std::string_view body);

    /// Creates the record of a response whose body exceeded the limit and was therefore not buffered.
    static stored_response without_content(unsigned status);

    void write(record_writer& writer) const;

    /// Fails with protocol_violation on a malformed record.
    static result<stored_response> read(record_reader& reader);
};

} // namespace ragworthinge
