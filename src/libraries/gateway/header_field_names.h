#pragma once

#include <string>

namespace ragworthinge {

/// Names of the HTTP header fields that callers and upstreams of a deployment use.
struct header_field_names {
    std::string request_id;        ///< Identifies one attempt of a caller. Upstreams echo it in their responses.
    std::string time_left;         ///< Milliseconds for which the sender will wait for the response.
    std::string affinity;          ///< Identifies the object that a request concerns.
    std::string key;               ///< API key of the client account, without a scheme or prefix.
    std::string account;           ///< Name of the client account, for upstreams.
    std::string expected_upstream; ///< Any other upstream rejects the request without executing it.
    std::string not_run;           ///< Present in responses to requests that the upstream did not execute.
    std::string upstream_load;     ///< Running requests, queued requests and slots, separated by commas.
    std::string receipt;           ///< Proves that the response was produced by an upstream.
    std::string leaving;           ///< "1" in each response of an upstream that is about to stop.
};

} // namespace ragworthinge
