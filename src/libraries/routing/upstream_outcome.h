#pragma once

namespace ragworthinge {

/// Outcome of one request to an upstream, as observed by this host.
enum class upstream_outcome {
    succeeded,      ///< A complete response that does not indicate a fault of the upstream.
    error_response, ///< A complete response that indicates a fault of the upstream.
    unreachable,    ///< The connection was refused or lost.
    timed_out,      ///< No complete response by the deadline.
    shed,           ///< The upstream rejected the request because it is overloaded.
    cancelled       ///< Cancelled by the caller or this host; no information about the upstream.
};

} // namespace ragworthinge
