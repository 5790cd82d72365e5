#include "requests/request_policy.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace ragworthinge {

namespace {

/// Returns the value of a field that may occur at most once.
admitted<std::optional<std::string>> single_value(const http_fields& fields, std::string_view name) {
    std::optional<std::string> value;
    for (const http_field& field : fields.entries()) {
        if (!equal_field_names(field.name, name))
            continue;
        if (value)
            return refuse(refusal_kind::malformed_request, std::string(name) + " occurs more than once");
        value = field.value;
    }
    return value;
}

bool is_visible_text(std::string_view text, std::size_t max_bytes) {
    const auto is_visible = [](char character) {
        return character > 0x20 && character < 0x7f;
    };
    return !text.empty() && text.size() <= max_bytes && std::all_of(text.begin(), text.end(), is_visible);
}

admitted<std::chrono::milliseconds> parse_time_limit(const std::optional<std::string>& text,
                                                     std::chrono::milliseconds service_timeout) {
    if (!text)
        return service_timeout;
    std::int64_t milliseconds = 0;
    const char* const end = text->data() + text->size();
    const auto parsed = std::from_chars(text->data(), end, milliseconds);
    if (parsed.ec == std::errc::result_out_of_range && parsed.ptr == end && text->front() != '-')
        return service_timeout;
    if (parsed.ec != std::errc{} || parsed.ptr != end || milliseconds <= 0)
        return refuse(refusal_kind::malformed_request, "X-Request-Timeout-Ms is not a positive number");
    return std::min(service_timeout, std::chrono::milliseconds(milliseconds));
}

} // namespace

admitted<request_plan> plan_request(const http_request_head& head, const route& matched,
                                    const std::optional<account_id>& account,
                                    std::chrono::milliseconds service_timeout) {
    if (head.method == "CONNECT" || head.method == "TRACE")
        return refuse(refusal_kind::malformed_request, "the method is not supported");
    if (head.fields.find("Upgrade"))
        return refuse(refusal_kind::malformed_request, "Upgrade is not supported");

    request_plan plan;
    plan.idempotent = matched.is_idempotent(head.method);
    BOOST_OUTCOME_TRY(const auto time_limit_text, single_value(head.fields, "X-Request-Timeout-Ms"));
    BOOST_OUTCOME_TRY(plan.time_limit, parse_time_limit(time_limit_text, service_timeout));

    BOOST_OUTCOME_TRY(plan.requested_id, single_value(head.fields, "X-Request-Id"));
    if (plan.requested_id && !is_visible_text(*plan.requested_id, max_request_id_bytes))
        return refuse(refusal_kind::malformed_request, "X-Request-Id is not usable");

    BOOST_OUTCOME_TRY(const auto claim_key, single_value(head.fields, "Idempotency-Key"));
    if (!claim_key || plan.idempotent)
        return plan;
    if (!is_visible_text(*claim_key, max_idempotency_key_bytes))
        return refuse(refusal_kind::malformed_request, "Idempotency-Key is not usable");
    if (!account)
        return refuse(refusal_kind::key_missing, "Idempotency-Key needs a client account");
    plan.claim_key = claim_key;
    return plan;
}

} // namespace ragworthinge
