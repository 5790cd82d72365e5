#pragma once

#include "base/http_message.h"
#include "base/identifiers.h"
#include "base/time.h"
#include "gateway/header_field_names.h"
#include "requests/refusal.h"

#include <chrono>
#include <optional>
#include <string>

namespace ragworthinge {

/// A caller's request with the header fields of the deployment decoded.
struct caller_request {
    request_id id;
    std::string host_name; ///< In lower case, without a port.
    std::string path;      ///< Without the query.
    std::optional<std::chrono::milliseconds> time_left;
    std::string affinity;           ///< Empty if the request names no object.
    std::optional<std::string> key; ///< Must not be logged.
};

/// Decodes a request head. Errors: malformed_request.
admitted<caller_request> read_caller_request(const http_request_head& head, const header_field_names& field_names);

/// Returns the request head for an upstream. Removes the API key, hop-by-hop fields, and fields that only this system
/// may set.
http_request_head make_upstream_head(const http_request_head& head, const header_field_names& field_names,
                                     std::size_t body_size);

/// Returns the response head for the caller, without hop-by-hop fields and what the upstream says of itself: its load
/// and that it leaves.
http_response_head make_caller_head(const http_response_head& head, const header_field_names& field_names);

/// Hash of method, target, account and body. Recognizes a repeated request that crashed its upstream before.
std::uint64_t request_fingerprint(const http_request_head& head, const account_id& account, const std::string& body);

} // namespace ragworthinge
