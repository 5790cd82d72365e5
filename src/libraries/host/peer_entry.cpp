#include "host/peer_entry.h"

#include "host/request_entry.h"
#include "host/request_runner.h"

#include <utility>

namespace ragworthinge {

void peer_entry::handle(http_exchange& exchange) {
    auto unwrapped = m_options.codec.unwrap(exchange.request(), monotonic_clock::now());
    if (!unwrapped) {
        answer_refusal(exchange, {.kind = refusal_kind::malformed_request, .detail = unwrapped.error().message}, {});
        return;
    }
    request_context request = std::move(unwrapped).value();
    request.snapshot = m_options.state.snapshot;
    if (!request.snapshot) {
        answer_refusal(exchange, {.kind = refusal_kind::no_capacity, .detail = "this host has no configuration yet"},
                       request.id);
        return;
    }
    if (const auto read = read_body_prefix(exchange, request); !read) {
        exchange.abort();
        return;
    }
    if (m_options.run_here(request, exchange))
        return;
    http_response_head head{.status = 503};
    head.fields.add(declined_field, "moved");
    static_cast<void>(respond(exchange, std::move(head), {}));
}

} // namespace ragworthinge
