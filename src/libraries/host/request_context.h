#pragma once

#include "base/digest.h"
#include "base/http_message.h"
#include "base/identifiers.h"
#include "base/time.h"
#include "host/configuration_snapshot.h"

#include <memory>
#include <optional>
#include <string>

namespace ragworthinge {

/// An admitted request on its way to an upstream.
struct request_context {
    request_id id;
    account_id account; ///< Empty on open routes without a key.
    service_id service;
    time_point deadline;
    bool idempotent = false;
    std::optional<std::string> claim_key; ///< Idempotency-Key that must be claimed before dispatch.
    http_request_head head;               ///< As forwarded: without the caller's key.
    std::string body;                     ///< First part of the body, kept for retries.
    bool body_complete = false;           ///< False: the rest is still to be read from the caller.
    std::string fingerprint;
    std::shared_ptr<const configuration_snapshot> snapshot; ///< Configuration that admitted the request.
};

} // namespace ragworthinge
