#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragworthinge {

/// One header field. Its name is case-insensitive.
struct http_field {
    std::string name;
    std::string value;
};

/// Header fields in the order in which they were received or added.
class http_fields {
public:
    /// Value of the first field of that name, if any.
    std::optional<std::string_view> find(std::string_view name) const;

    /// Appends a field, even if one of that name exists.
    void add(std::string_view name, std::string_view value);

    /// Replaces all fields of that name by one.
    void set(std::string_view name, std::string_view value);

    /// Removes all fields of that name.
    void remove(std::string_view name);

    std::vector<http_field>& entries() noexcept { return m_entries; }
    const std::vector<http_field>& entries() const noexcept { return m_entries; }

private:
    std::vector<http_field> m_entries;
};

/// Compares header names, ignoring ASCII case.
bool equal_field_names(std::string_view left, std::string_view right) noexcept;

/// Request line and headers.
struct http_request_head {
    std::string method;
    std::string target;
    http_fields fields;
    std::optional<std::uint64_t> content_length; ///< Bytes; absent for a chunked or absent body.
    bool has_body = false;
};

/// Status and headers of a response.
struct http_response_head {
    unsigned status = 0;
    http_fields fields;
    std::optional<std::uint64_t> content_length; ///< Bytes; absent for a chunked body.
};

} // namespace ragworthinge
