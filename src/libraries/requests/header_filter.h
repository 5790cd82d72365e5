#pragma once

#include "base/http_message.h"
#include "base/identifiers.h"
#include "requests/refusal.h"
#include "requests/request_target.h"
#include "requests/secret_text.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragworthinge {

inline constexpr std::string_view account_field = "X-Ragworthinge-Account";
inline constexpr std::string_view deadline_field = "X-Request-Timeout-Ms";

/// Values that this system adds to a forwarded request as header fields.
struct forwarding_context {
    std::optional<account_id> account;      ///< Client account; absent on open routes without a key.
    std::chrono::milliseconds remaining{0}; ///< Time until the caller's deadline.
};

/// Removes a caller's credentials from the request head before it is forwarded to an upstream.
///
/// Field names are compared in a canonical form (percent escapes decoded, lower case, `_` as `-`), because some
/// upstreams treat these forms as equal. Every other field and query field that contains a carried key is removed, too.
class header_filter {
public:
    /// Reads the key from `Authorization: Bearer`, `X-Api-Key` or the query fields `api_key` and `key`.
    /// Refuses with malformed_request if a field name or value has a character that HTTP forbids, or if the request
    /// carries different keys. An invalid target gives the refusals of `request_target::parse`.
    static admitted<header_filter> create(http_request_head head);

    /// The key that the request carries, or nullopt.
    const std::optional<secret_text>& key() const noexcept { return m_key; }

    const request_target& target() const noexcept { return m_target; }

    /// Builds the head for the upstream. Refuses with malformed_request if the path, the remaining query or the method
    /// contains the key.
    admitted<http_request_head> forward(const forwarding_context& context) const;

private:
    explicit header_filter(request_target target) : m_target(std::move(target)) {}

    void collect_keys();
    std::string forwarded_query() const;
    bool contains_key(std::string_view text) const;

    http_request_head m_head;
    std::vector<std::string> m_canonical_names; ///< Canonical names of the head's fields, in the same order.
    request_target m_target;
    std::optional<secret_text> m_key;
    std::vector<std::string> m_carried_keys;   ///< All keys found in the request, duplicates included.
    std::vector<std::string> m_searched_forms; ///< Lower-case forms of the carried keys, searched in forwarded text.
};

/// Removes the hop-by-hop fields and every X-Ragworthinge field from an upstream's response, so that an upstream cannot
/// report an outcome on behalf of this system.
void filter_response_fields(http_fields& fields);

} // namespace ragworthinge
