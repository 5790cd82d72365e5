#include "host/request_entry.h"

#include "host/request_runner.h"
#include "requests/access_control.h"
#include "requests/header_filter.h"
#include "requests/request_fingerprint.h"
#include "requests/request_policy.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace ragworthinge {

namespace {

/// A longer body is streamed: its request cannot be retried and its fingerprint covers only this part.
constexpr std::size_t body_prefix_bytes = 64 * 1024;
constexpr std::size_t read_chunk_bytes = 8 * 1024;

} // namespace

result<void> read_body_prefix(http_exchange& exchange, request_context& request) {
    if (!exchange.request().has_body) {
        request.body_complete = true;
        return boost::outcome_v2::success();
    }
    while (request.body.size() < body_prefix_bytes) {
        const std::size_t used = request.body.size();
        request.body.resize(used + std::min(read_chunk_bytes, body_prefix_bytes - used));
        const auto read = exchange.read_body({request.body.data() + used, request.body.size() - used});
        if (!read)
            return read.error();
        request.body.resize(used + read.value());
        if (read.value() == 0) {
            request.body_complete = true;
            return boost::outcome_v2::success();
        }
    }
    return boost::outcome_v2::success();
}

request_id request_entry::next_id() {
    return m_options.id_prefix + std::to_string(++m_last_id);
}

admitted<request_entry::admission> request_entry::admit(http_exchange& exchange, const request_id& id) {
    const time_point arrived_at = monotonic_clock::now();
    const auto snapshot = m_options.state.snapshot;
    if (!snapshot)
        return refuse(refusal_kind::no_capacity, "this host has no configuration yet");

    const http_request_head& head = exchange.request();
    BOOST_OUTCOME_TRY(const header_filter filter, header_filter::create(head));
    BOOST_OUTCOME_TRY(const access_grant grant, decide_access(snapshot->routes(), snapshot->keys(),
                                                              m_options.state.freshness.evaluate(arrived_at),
                                                              filter.target().path(), filter.key()));
    const service_configuration* service = snapshot->find_service(grant.matched->service);
    if (service == nullptr)
        return refuse(refusal_kind::no_capacity, "the route's service does not exist");

    std::optional<account_id> account;
    if (grant.owner != nullptr)
        account = grant.owner->account;
    BOOST_OUTCOME_TRY(request_plan plan, plan_request(head, *grant.matched, account, service->request_timeout));

    admission admitted_request;
    request_context& request = admitted_request.request;
    request.id = plan.requested_id.value_or(id);
    request.account = account.value_or(account_id{});
    request.service = service->name;
    request.deadline = arrived_at + plan.time_limit;
    request.idempotent = plan.idempotent;
    request.claim_key = std::move(plan.claim_key);
    request.snapshot = snapshot;
    if (const auto read = read_body_prefix(exchange, request); !read)
        return refuse(refusal_kind::malformed_request, read.error().message);

    BOOST_OUTCOME_TRY(request.head, filter.forward({.account = account, .remaining = plan.time_limit}));
    request.head.fields.set("X-Request-Id", request.id);
    request.head.has_body = head.has_body;
    request.head.content_length = head.content_length;
    request.fingerprint =
        request_fingerprint(request.account, request.head.method, request.head.target, sha256(request.body));
    if (grant.owner != nullptr && filter.key())
        admitted_request.key_digest = snapshot->keys().digest_of(*filter.key());
    return admitted_request;
}

void request_entry::handle(http_exchange& exchange) {
    const request_id id = next_id();
    auto admission = admit(exchange, id);
    if (!admission) {
        m_options.on_refusal(id, admission.error());
        answer_refusal(exchange, admission.error(), id);
        return;
    }
    const auto registration = m_options.active.add(
        {.key_digest = admission.value().key_digest, .account = admission.value().request.account, .cut = [&exchange] {
             exchange.abort();
         }});
    m_options.serve(admission.value().request, exchange);
}

} // namespace ragworthinge
