#include "gateway/caller_request.h"

#include "membership/rendezvous_hash.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>

namespace ragworthinge {

namespace {

/// Hop-by-hop fields (RFC 9110, section 7.6.1) and Content-Length, which is set again for the forwarded message.
constexpr std::array<std::string_view, 9> hop_by_hop_fields = {"Connection", "Keep-Alive", "Proxy-Connection",
                                                               "TE",         "Trailer",    "Transfer-Encoding",
                                                               "Upgrade",    "Expect",     "Content-Length"};

constexpr std::chrono::hours max_time_left{24};

std::string lower_case(std::string_view text) {
    std::string lowered(text);
    std::transform(lowered.begin(), lowered.end(), lowered.begin(), [](char letter) {
        return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
    });
    return lowered;
}

std::string_view without_port(std::string_view host) {
    const auto colon = host.rfind(':');
    return colon == std::string_view::npos || host.back() == ']' ? host : host.substr(0, colon);
}

/// Whether the value of the Connection field lists the field name.
bool is_listed_in_connection(std::string_view connection, std::string_view name) {
    while (!connection.empty()) {
        const auto comma = connection.find(',');
        std::string_view token = connection.substr(0, comma);
        while (!token.empty() && token.front() == ' ')
            token.remove_prefix(1);
        while (!token.empty() && token.back() == ' ')
            token.remove_suffix(1);
        if (equal_field_names(token, name))
            return true;
        if (comma == std::string_view::npos)
            return false;
        connection.remove_prefix(comma + 1);
    }
    return false;
}

bool is_hop_by_hop(const http_fields& fields, std::string_view name) {
    const bool listed = std::any_of(hop_by_hop_fields.begin(), hop_by_hop_fields.end(),
                                    [&](std::string_view field) { return equal_field_names(field, name); });
    return listed || is_listed_in_connection(fields.find("Connection").value_or(""), name);
}

std::size_t count_fields(const http_fields& fields, std::string_view name) {
    return static_cast<std::size_t>(
        std::count_if(fields.entries().begin(), fields.entries().end(),
                      [&](const http_field& field) { return equal_field_names(field.name, name); }));
}

} // namespace

admitted<caller_request> read_caller_request(const http_request_head& head, const header_field_names& field_names) {
    caller_request request;
    if (count_fields(head.fields, field_names.request_id) != 1)
        return refuse(refusal_kind::malformed_request, "the request must have one id");
    request.id = *head.fields.find(field_names.request_id);
    if (request.id.empty())
        return refuse(refusal_kind::malformed_request, "the request's id is empty");
    if (count_fields(head.fields, field_names.key) > 1)
        return refuse(refusal_kind::malformed_request, "the request has more than one key");
    if (head.target.empty() || head.target.front() != '/')
        return refuse(refusal_kind::malformed_request, "the request's target is not a path");

    request.host_name = lower_case(without_port(head.fields.find("Host").value_or("")));
    request.path = head.target.substr(0, head.target.find_first_of("?#"));
    request.affinity = head.fields.find(field_names.affinity).value_or("");
    if (const auto key = head.fields.find(field_names.key))
        request.key = std::string(*key);

    if (const auto left = head.fields.find(field_names.time_left)) {
        std::int64_t milliseconds = 0;
        const auto parsed = std::from_chars(left->data(), left->data() + left->size(), milliseconds);
        if (parsed.ec != std::errc{} || parsed.ptr != left->data() + left->size() || milliseconds < 0)
            return refuse(refusal_kind::malformed_request, "the time left is not a number of milliseconds");
        request.time_left = std::min(std::chrono::milliseconds(milliseconds), std::chrono::milliseconds(max_time_left));
    }
    return request;
}

http_request_head make_upstream_head(const http_request_head& head, const header_field_names& field_names,
                                     std::size_t body_size) {
    const std::array<std::string_view, 6> reserved_fields = {
        field_names.key,     field_names.account, field_names.expected_upstream,
        field_names.not_run, field_names.receipt, field_names.time_left};
    http_request_head forwarded;
    forwarded.method = head.method;
    forwarded.target = head.target;
    for (const http_field& field : head.fields.entries()) {
        const bool is_own = std::any_of(reserved_fields.begin(), reserved_fields.end(),
                                        [&](std::string_view name) { return equal_field_names(name, field.name); });
        if (!is_own && !is_hop_by_hop(head.fields, field.name))
            forwarded.fields.add(field.name, field.value);
    }
    const bool carries_body = head.has_body || head.content_length.has_value();
    if (carries_body)
        forwarded.content_length = body_size;
    forwarded.has_body = body_size > 0;
    return forwarded;
}

http_response_head make_caller_head(const http_response_head& head, const header_field_names& field_names) {
    http_response_head answer;
    answer.status = head.status;
    for (const http_field& field : head.fields.entries()) {
        const bool concerns_upstream = equal_field_names(field.name, field_names.upstream_load) ||
                                       equal_field_names(field.name, field_names.leaving);
        if (!concerns_upstream && !is_hop_by_hop(head.fields, field.name))
            answer.fields.add(field.name, field.value);
    }
    return answer;
}

std::uint64_t request_fingerprint(const http_request_head& head, const account_id& account, const std::string& body) {
    const std::string host(head.fields.find("Host").value_or(""));
    return rendezvous_score(head.method + ' ' + host + head.target, account + '\n' + body);
}

} // namespace ragworthinge
