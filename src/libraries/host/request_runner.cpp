#include "host/request_runner.h"

#include "base/http_status.h"
#include "net/fiber_runtime.h"
#include "requests/header_filter.h"

#include <utility>

namespace ragworthinge {

namespace {

constexpr unsigned maximum_attempts = 4;
constexpr std::chrono::milliseconds suspect_poll{20};
constexpr unsigned overload_status = 503;

refusal to_refusal(refusal_reason reason, const service_id& service) {
    switch (reason) {
    case refusal_reason::queue_full:
        return {.kind = refusal_kind::queue_full, .detail = "the queue of " + service + " is full"};
    case refusal_reason::deadline_missed:
        return {.kind = refusal_kind::deadline_before_run, .detail = "no upstream of " + service + " was free in time"};
    case refusal_reason::over_rate:
        return {.kind = refusal_kind::over_rate, .detail = "the account is over its rate"};
    case refusal_reason::no_upstream:
        break;
    }
    return {.kind = refusal_kind::no_capacity, .detail = "no upstream of " + service + " accepts work here"};
}

upstream_outcome outcome_of(unsigned status) {
    if (status == overload_status)
        return upstream_outcome::shed;
    return status >= http_status::first_server_error ? upstream_outcome::error_response : upstream_outcome::succeeded;
}

http_response_head stored_head(const stored_response& response, const request_id& id) {
    http_response_head head{.status = response.status, .fields = response.fields, .content_length = {}};
    head.fields.set("X-Request-Id", id);
    head.fields.set("X-Ragworthinge-Replayed", "yes");
    return head;
}

} // namespace

void answer_refusal(http_exchange& caller, const refusal& reason, const request_id& id) {
    if (caller.response_started()) {
        caller.abort();
        return;
    }
    refusal_response response = make_refusal_response(reason, id);
    // A caller that cannot be answered has gone away; there is nobody left to tell.
    static_cast<void>(respond(caller, std::move(response.head), response.body));
}

run_report request_runner::run(const request_context& request, http_exchange& caller) {
    run_report report;
    relay_result last;
    if (!request.claim_key) {
        m_options.retries.record_request(request.account);
        report.refused = run_attempts(request, caller, last, report);
    } else {
        const auto claim = m_options.claims.acquire({.account = request.account,
                                                     .idempotency_key = *request.claim_key,
                                                     .fingerprint = request.fingerprint,
                                                     .deadline = request.deadline});
        report.refused = ragworthinge::to_refusal(claim.decision);
        if (claim.decision.verdict == claim_verdict::proceed) {
            report.refused = run_attempts(request, caller, last, report);
            record_claim_end(claim.ticket, report, last);
        } else if (!report.refused) {
            report.replayed = true;
            report.status = claim.decision.response->status;
            static_cast<void>(
                respond(caller, stored_head(*claim.decision.response, request.id), claim.decision.response->body));
        }
    }
    if (report.refused) {
        // A retry that was refused does not undo the attempt before it.
        if (report.may_have_run && report.refused->outcome() == request_outcome::not_run)
            report.refused->kind = refusal_kind::upstream_failed;
        report.status = report.refused->status();
        answer_refusal(caller, *report.refused, request.id);
    }
    return report;
}

void request_runner::record_claim_end(claim_ticket ticket, const run_report& report, const relay_result& last) {
    if (!report.may_have_run) {
        m_options.claims.release(ticket);
        return;
    }
    // An answer that was received whole is recorded even if its caller went away, since the caller will ask again.
    if (!last.answer_complete) {
        m_options.claims.complete_unknown(ticket);
        return;
    }
    m_options.claims.complete(ticket, last.answer_captured
                                          ? stored_response::from_response(last.answer_head, last.answer_body)
                                          : stored_response::without_content(last.status));
}

std::optional<refusal> request_runner::run_attempts(const request_context& request, http_exchange& caller,
                                                    relay_result& last, run_report& report) {
    failure_domain_id avoided;
    while (report.attempts < maximum_attempts) {
        ++report.attempts;
        last = {};
        attempt made = try_once(request, caller, avoided, last, report);
        if (last.stage != relay_stage::not_sent)
            report.may_have_run = true;
        if (made.ended)
            return std::move(made.refused);
        avoided = std::move(made.failed_domain);
    }
    if (report.may_have_run)
        return refusal{.kind = refusal_kind::upstream_failed, .detail = "every attempt failed"};
    return refusal{.kind = refusal_kind::no_capacity, .detail = "no upstream could be reached"};
}

bool request_runner::wait_for_suspect(const request_context& request, failure_domain_id& avoided,
                                      std::optional<refusal>& refused) {
    while (monotonic_clock::now() < request.deadline) {
        const poison_verdict verdict = m_options.poison.start(request.fingerprint, wall_clock::now());
        if (verdict.decision == poison_verdict::kind::run) {
            // The death may have happened on another host or in an earlier request of the caller.
            if (!verdict.avoid.empty())
                avoided = *verdict.avoid.begin();
            return true;
        }
        if (verdict.decision == poison_verdict::kind::quarantined) {
            refused = refusal{.kind = refusal_kind::quarantined,
                              .detail = "this request ended the connections of several upstreams",
                              .retry_after = verdict.retry_after};
            return false;
        }
        m_options.runtime.sleep_for(suspect_poll);
    }
    refused = refusal{.kind = refusal_kind::deadline_before_run, .detail = "an equal request is under observation"};
    return false;
}

request_runner::attempt request_runner::try_once(const request_context& request, http_exchange& caller,
                                                 failure_domain_id avoided, relay_result& last, run_report& report) {
    const auto service = m_options.services.find(request.service);
    if (service == m_options.services.end())
        return {.ended = true, .refused = to_refusal(refusal_reason::no_upstream, request.service)};

    attempt made{.ended = true};
    if (!wait_for_suspect(request, avoided, made.refused))
        return made;

    service_dispatch& dispatch = *service->second;
    const request_ticket ticket = ++m_last_ticket;
    const time_point enqueued_at = monotonic_clock::now();
    const dispatch_decision decision = dispatch.acquire({.ticket = ticket,
                                                         .account = request.account,
                                                         .deadline = request.deadline,
                                                         .enqueued_at = enqueued_at,
                                                         .idempotent = request.idempotent,
                                                         .avoided_failure_domain = avoided});
    report.queued += monotonic_clock::now() - enqueued_at;
    if (!decision.upstream) {
        record_end(request, run_outcome::not_dispatched, {});
        // A request that may have run cannot move, because the other host would not know.
        report.moved = decision.moved && !report.may_have_run;
        if (report.moved)
            return made;
        made.refused = to_refusal(decision.reason, request.service);
        return made;
    }

    report.upstream = *decision.upstream;
    const upstream_configuration* configured = request.snapshot->find_upstream(request.service, *decision.upstream);
    if (configured == nullptr) {
        // The upstream was added after this request was admitted; the next attempt may find one that is known here.
        record_end(request, run_outcome::not_dispatched, {});
        dispatch.finished(ticket, upstream_outcome::cancelled);
        return {.ended = false};
    }

    const network_endpoint endpoint{configured->address, configured->port};
    auto connection = m_options.upstreams.acquire(endpoint, request.deadline);
    if (!connection) {
        record_end(request, run_outcome::not_dispatched, *configured);
        dispatch.finished(ticket, upstream_outcome::unreachable);
        return {.ended = false, .failed_domain = configured->failure_domain};
    }

    const relay_options options{.capture_limit = request.claim_key ? max_stored_response_bytes : 0,
                                .edit_head = [&](http_response_head& head) {
                                    filter_response_fields(head.fields);
                                    head.fields.set("X-Request-Id", request.id);
                                }};
    last = relay_request(request, caller, *connection.value(), options);
    report.status = last.status;
    made = conclude(request, caller, *configured, ticket, last);
    m_options.upstreams.release(endpoint, std::move(connection).value());
    return made;
}

request_runner::attempt request_runner::conclude(const request_context& request, http_exchange& caller,
                                                 const upstream_configuration& upstream, request_ticket ticket,
                                                 relay_result& last) {
    service_dispatch& dispatch = *m_options.services.at(request.service);
    if (last.answer_complete) {
        record_end(request, run_outcome::answered, upstream);
        dispatch.finished(ticket, outcome_of(last.status));
        if (last.stage != relay_stage::answer_relayed)
            caller.abort();
        return {.ended = true};
    }
    if (last.stage == relay_stage::not_sent) {
        record_end(request, run_outcome::not_dispatched, upstream);
        dispatch.finished(ticket, upstream_outcome::unreachable);
        return {.ended = last.caller_failed, .failed_domain = upstream.failure_domain};
    }
    if (last.caller_failed) {
        record_end(request, run_outcome::upstream_leaving, upstream);
        dispatch.cancelled(ticket);
        caller.abort();
        return {.ended = true};
    }
    if (last.cause.code == error_code::timeout) {
        record_end(request, run_outcome::upstream_leaving, upstream);
        dispatch.timed_out(ticket);
        return {.ended = true,
                .refused = refusal{.kind = refusal_kind::upstream_timeout,
                                   .detail = upstream.name + " did not answer within the deadline"}};
    }

    const bool leaving = upstream.state == upstream_state::leaving;
    record_end(request, leaving ? run_outcome::upstream_leaving : run_outcome::connection_lost, upstream);
    // It took the request, so it can be reached: a bad answer is no reason to leave a service without upstreams.
    dispatch.finished(ticket, upstream_outcome::error_response);
    if (may_retry(request, last))
        return {.ended = false, .failed_domain = upstream.failure_domain};
    return {.ended = true,
            .refused = refusal{.kind = refusal_kind::upstream_failed,
                               .detail = upstream.name + " broke off: " + last.cause.message}};
}

bool request_runner::may_retry(const request_context& request, const relay_result& last) {
    if (!request.idempotent || !request.body_complete || last.stage >= relay_stage::answer_begun)
        return false;
    const time_point now = monotonic_clock::now();
    return now < request.deadline && m_options.retries.try_spend(request.account, now);
}

void request_runner::record_end(const request_context& request, run_outcome end,
                                const upstream_configuration& upstream) {
    const poison_subject subject{.fingerprint = request.fingerprint,
                                 .account = request.account,
                                 .method = request.head.method,
                                 .path = request.head.target.substr(0, request.head.target.find('?'))};
    const auto changed =
        m_options.poison.finish(subject, end, upstream.name, upstream.failure_domain, wall_clock::now());
    if (changed)
        m_options.publish_poison(*changed);
}

} // namespace ragworthinge
