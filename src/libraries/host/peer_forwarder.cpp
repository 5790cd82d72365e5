#include "host/peer_forwarder.h"

#include "host/request_runner.h"
#include "net/fiber_runtime.h"

#include <string_view>
#include <utility>

namespace ragworthinge {

namespace {

/// Pause before another dispatcher is looked for. A killed dispatcher is replaced within 3 s, so a request that was not
/// sent can wait for its successor.
constexpr std::chrono::milliseconds pause_between_tries{50};
/// The dispatcher answers a missed deadline itself, with what it knows of the run; its answer needs time to arrive.
constexpr std::chrono::milliseconds hop_margin{100};
constexpr std::string_view outcome_field = "X-Ragworthinge-Outcome";

} // namespace

void peer_forwarder::serve(const request_context& request, http_exchange& caller) {
    const std::optional<refusal> refused = try_until_deadline(request, caller);
    if (refused)
        answer_refusal(caller, *refused, request.id);
    m_options.on_end(request, refused);
}

std::optional<refusal> peer_forwarder::try_until_deadline(const request_context& request, http_exchange& caller) {
    bool may_have_run = false;
    while (monotonic_clock::now() < request.deadline) {
        const auto place = m_options.place(request);
        if (place && place->here) {
            const bool taken = m_options.run_here(request, caller);
            m_options.on_place_end(request, *place, !taken);
            if (taken)
                return std::nullopt;
        }
        if (place && !place->here) {
            const hop_end end = forward(request, place->endpoint, caller, may_have_run);
            m_options.on_place_end(request, *place, end != hop_end::answered);
            if (end == hop_end::answered)
                return std::nullopt;
            if (end == hop_end::timed_out)
                return refusal{.kind = refusal_kind::upstream_timeout,
                               .detail = "the dispatching host did not answer within the deadline"};
            // An earlier try may have run the request, whatever the host of this try knows of it.
            if (end == hop_end::not_run)
                return refusal{.kind = refusal_kind::upstream_failed, .detail = "an earlier attempt may have run"};
            may_have_run = may_have_run || end == hop_end::failed;
            if (end == hop_end::failed && !may_retry(request))
                return refusal{.kind = refusal_kind::upstream_failed, .detail = "the dispatching host broke off"};
            // A streamed body was consumed by the host that declined the request.
            if (end == hop_end::declined && !request.body_complete)
                return refusal{.kind = refusal_kind::no_capacity, .detail = "the dispatching host changed"};
        }
        m_options.runtime.sleep_for(pause_between_tries);
    }
    const auto kind = may_have_run ? refusal_kind::upstream_failed : refusal_kind::deadline_before_run;
    return refusal{.kind = kind, .detail = "no host could dispatch the request in time"};
}

bool peer_forwarder::may_retry(const request_context& request) const {
    return request.idempotent && request.body_complete &&
           m_options.retries.try_spend(request.account, monotonic_clock::now());
}

peer_forwarder::hop_end peer_forwarder::forward(const request_context& request, const network_endpoint& endpoint,
                                                http_exchange& caller, bool may_have_run) {
    auto connection = m_options.peers.acquire(endpoint, request.deadline);
    if (!connection)
        return hop_end::not_sent;

    request_context hop = request;
    hop.head = m_options.codec.wrap(request, monotonic_clock::now());
    hop.deadline += hop_margin;
    bool moved = false;
    const relay_options options{.is_declined = [&](const http_response_head& head) {
        moved = head.fields.find(declined_field).has_value();
        return moved || (may_have_run && head.fields.find(outcome_field) == to_string(request_outcome::not_run));
    }};
    const relay_result relayed = relay_request(hop, caller, *connection.value(), options);
    m_options.peers.release(endpoint, std::move(connection).value());

    if (relayed.declined)
        return moved ? hop_end::declined : hop_end::not_run;
    switch (relayed.stage) {
    case relay_stage::answer_relayed:
        return hop_end::answered;
    case relay_stage::answer_begun:
        caller.abort();
        return hop_end::answered;
    case relay_stage::not_sent:
        return relayed.caller_failed ? hop_end::answered : hop_end::not_sent;
    case relay_stage::sent:
        break;
    }
    if (relayed.caller_failed)
        return hop_end::answered;
    return relayed.cause.code == error_code::timeout ? hop_end::timed_out : hop_end::failed;
}

} // namespace ragworthinge
