#pragma once

#include "base/http_message.h"
#include "base/time.h"
#include "gateway/header_field_names.h"

#include <optional>
#include <string>

namespace ragworthinge {

/// What an upstream asks of this host with a response.
struct upstream_signals {
    bool is_leaving = false;            ///< It is about to stop and must get nothing more.
    std::optional<duration> quiet_time; ///< It wants no requests for this long. Present only in a rejection with 503.
    std::string problem;                ///< Why its Retry-After cannot be used; empty if there is none or it is valid.
};

/// Reads the signals in the head of a response. Never fails: a value that cannot be used is reported and ignored.
upstream_signals read_upstream_signals(const http_response_head& head, const header_field_names& field_names);

} // namespace ragworthinge
