#include "requests/refusal.h"

#include "requests/json_text.h"

#include <array>
#include <cassert>

namespace ragworthinge {

namespace {

/// Response properties of one refusal kind. If retry_after is zero, no Retry-After header is sent.
struct refusal_properties {
    refusal_kind kind;
    std::string_view name;
    unsigned status;
    request_outcome outcome;
    std::chrono::seconds retry_after;
};

using std::chrono::seconds;

constexpr std::array<refusal_properties, refusal_kind_count> refusal_table{{
    {refusal_kind::malformed_request, "malformed_request", 400, request_outcome::not_run, seconds{0}},
    {refusal_kind::ambiguous_path, "ambiguous_path", 400, request_outcome::not_run, seconds{0}},
    {refusal_kind::body_too_large, "body_too_large", 413, request_outcome::not_run, seconds{0}},
    {refusal_kind::key_missing, "key_missing", 401, request_outcome::not_run, seconds{0}},
    {refusal_kind::key_wrong, "key_wrong", 401, request_outcome::not_run, seconds{0}},
    {refusal_kind::keys_stale, "keys_stale", 503, request_outcome::not_run, seconds{2}},
    {refusal_kind::route_forbidden, "route_forbidden", 403, request_outcome::not_run, seconds{0}},
    {refusal_kind::route_unknown, "route_unknown", 404, request_outcome::not_run, seconds{0}},
    {refusal_kind::over_rate, "over_rate", 429, request_outcome::not_run, seconds{1}},
    {refusal_kind::queue_full, "queue_full", 503, request_outcome::not_run, seconds{1}},
    {refusal_kind::no_capacity, "no_capacity", 503, request_outcome::not_run, seconds{1}},
    {refusal_kind::deadline_before_run, "deadline_before_run", 503, request_outcome::not_run, seconds{1}},
    {refusal_kind::store_unavailable, "store_unavailable", 503, request_outcome::not_run, seconds{2}},
    {refusal_kind::host_leaving, "host_leaving", 503, request_outcome::not_run, seconds{1}},
    {refusal_kind::quarantined, "quarantined", 503, request_outcome::not_run, seconds{600}},
    {refusal_kind::claim_running, "claim_running", 409, request_outcome::running, seconds{1}},
    {refusal_kind::claim_key_reused, "claim_key_reused", 422, request_outcome::key_reused, seconds{0}},
    {refusal_kind::claim_outcome_unknown, "claim_outcome_unknown", 502, request_outcome::unknown, seconds{0}},
    {refusal_kind::answer_not_kept, "answer_not_kept", 410, request_outcome::completed, seconds{0}},
    {refusal_kind::upstream_failed, "upstream_failed", 502, request_outcome::unknown, seconds{0}},
    {refusal_kind::upstream_timeout, "upstream_timeout", 504, request_outcome::unknown, seconds{0}},
}};

constexpr bool table_matches_enum_order() {
    for (std::size_t index = 0; index < refusal_table.size(); ++index) {
        if (static_cast<std::size_t>(refusal_table[index].kind) != index)
            return false;
    }
    return true;
}

static_assert(table_matches_enum_order());

const refusal_properties& properties_of(refusal_kind kind) noexcept {
    const auto index = static_cast<std::size_t>(kind);
    assert(index < refusal_table.size());
    return refusal_table[index];
}

} // namespace

std::string_view to_string(request_outcome outcome) noexcept {
    switch (outcome) {
    case request_outcome::not_run:
        return "not-run";
    case request_outcome::unknown:
        return "unknown";
    case request_outcome::running:
        return "running";
    case request_outcome::key_reused:
        return "key-reused";
    case request_outcome::completed:
        return "completed";
    }
    return "unknown";
}

std::string_view to_string(refusal_kind kind) noexcept {
    return properties_of(kind).name;
}

unsigned refusal::status() const noexcept {
    return properties_of(kind).status;
}

request_outcome refusal::outcome() const noexcept {
    return properties_of(kind).outcome;
}

refusal_response make_refusal_response(const refusal& reason, const request_id& request) {
    const refusal_properties& properties = properties_of(reason.kind);

    refusal_response response;
    response.body = "{\"error\":" + quote_json(properties.name) +
                    ",\"outcome\":" + quote_json(to_string(properties.outcome)) +
                    ",\"message\":" + quote_json(reason.detail) + ",\"request_id\":" + quote_json(request) + "}\n";
    response.head.status = properties.status;
    response.head.content_length = response.body.size();
    response.head.fields.add("Content-Type", "application/json");
    response.head.fields.add("Cache-Control", "no-store");
    response.head.fields.add("X-Ragworthinge-Outcome", to_string(properties.outcome));

    const std::chrono::seconds retry_after = reason.retry_after.value_or(properties.retry_after);
    if (retry_after.count() > 0)
        response.head.fields.add("Retry-After", std::to_string(retry_after.count()));
    if (properties.status == 401)
        response.head.fields.add("WWW-Authenticate", "Bearer");
    return response;
}

} // namespace ragworthinge
