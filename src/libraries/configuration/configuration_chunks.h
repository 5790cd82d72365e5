#pragma once

#include "base/identifiers.h"
#include "base/result.h"

#include <string>
#include <string_view>
#include <vector>

namespace ragworthinge {

/// Bytes of one chunk. The store takes values up to 1 MB; the margin is for its own framing.
inline constexpr std::size_t maximum_chunk_bytes = 900'000;

/// More would exceed what one transaction can compare, and 110 chunks hold 1.3 million client blocks.
inline constexpr std::size_t maximum_chunks = 110;

/// Store key of the pointer to the configuration in force.
inline constexpr std::string_view configuration_pointer_key = "configuration/current";

/// Value of the pointer.
struct configuration_pointer {
    configuration_revision revision = 0;
    std::string digest; ///< Lower-case hex of SHA-256 of the whole content.
    std::size_t chunks = 0;
    std::string tag; ///< Random text of the submission that wrote it; tells own writes from others.

    friend bool operator==(const configuration_pointer&, const configuration_pointer&) = default;
};

std::string print_pointer(const configuration_pointer& pointer);

/// Fails with protocol_violation if the value is garbled.
result<configuration_pointer> parse_pointer(std::string_view value);

/// Store key of chunk `number`, counted from 0.
std::string chunk_key(configuration_revision revision, std::size_t number);

/// Store key of the audit record of a revision.
std::string audit_key(configuration_revision revision);

/// Lower-case hex of SHA-256 of a content.
std::string content_digest(std::string_view content);

/// Splits a content into chunks; an empty content gives one empty chunk. Fails with invalid_argument if it needs more
/// than `maximum_chunks`.
result<std::vector<std::string>> split_content(std::string_view content, std::size_t chunk_bytes = maximum_chunk_bytes);

/// Joins chunks and checks number and digest; fails with protocol_violation if they do not match the pointer.
result<std::string> join_chunks(const configuration_pointer& pointer, const std::vector<std::string>& chunks);

} // namespace ragworthinge
