#pragma once

#include "base/result.h"
#include "base/time.h"
#include "host/request_context.h"
#include "net/http_connection.h"
#include "net/http_exchange.h"

#include <cstddef>
#include <functional>
#include <string>

namespace ragworthinge {

/// How far one attempt to forward a request came.
enum class relay_stage {
    not_sent,      ///< No byte of the request left this process.
    sent,          ///< Some of the request was sent; it may have run.
    answer_begun,  ///< Status and headers arrived; some of the answer may have reached the caller.
    answer_relayed ///< The caller got the whole answer.
};

/// End of one attempt.
struct relay_result {
    relay_stage stage = relay_stage::not_sent;
    error cause;                    ///< Unless the answer was relayed.
    bool caller_failed = false;     ///< The caller's side broke, not the upstream's.
    bool declined = false;          ///< The other host did not take the request; nothing was sent to the caller.
    unsigned status = 0;            ///< Status of the answer once begun.
    std::string answer_body;        ///< First bytes of the answer, up to the capture limit.
    bool answer_captured = false;   ///< `answer_body` is the whole body once the answer is complete.
    bool answer_complete = false;   ///< The whole answer was received, whether or not the caller got it.
    http_response_head answer_head; ///< As received.
};

/// What to keep and change while an answer is relayed.
struct relay_options {
    std::size_t capture_limit = 0; ///< Bytes of the answer to keep; zero keeps nothing.
    /// True for a head with which another host says that it does not take the request.
    std::function<bool(const http_response_head&)> is_declined;
    /// Changes status and headers before they are sent to the caller.
    std::function<void(http_response_head&)> edit_head;
};

/// Sends the request over the connection and streams the answer back to the caller.
relay_result relay_request(const request_context& request, http_exchange& caller, http_connection& connection,
                           const relay_options& options);

} // namespace ragworthinge
