#include "host/peer_request.h"

#include "base/digest.h"
#include "base/encoding.h"

#include <array>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <string_view>
#include <utility>

namespace ragworthinge {

namespace {

constexpr std::string_view account_name = "X-Ragworthinge-Account";
constexpr std::string_view id_name = "X-Ragworthinge-Request-Id";
constexpr std::string_view service_name = "X-Ragworthinge-Service";
constexpr std::string_view remaining_name = "X-Ragworthinge-Remaining-Ms";
constexpr std::string_view idempotent_name = "X-Ragworthinge-Idempotent";
constexpr std::string_view claim_name = "X-Ragworthinge-Claim";
constexpr std::string_view fingerprint_name = "X-Ragworthinge-Fingerprint";

constexpr std::array sealed_names = {account_name,    id_name,    service_name,    remaining_name,
                                     idempotent_name, claim_name, fingerprint_name};

/// Fields that exist only between hosts; the account stays, because the upstream gets it too.
constexpr std::array hop_names = {id_name,    service_name,     remaining_name, idempotent_name,
                                  claim_name, fingerprint_name, seal_field};

result<std::string> required(const http_request_head& head, std::string_view name) {
    const auto value = head.fields.find(name);
    if (!value)
        return failure(error_code::invalid_argument, std::string(name) + " is missing");
    return std::string(*value);
}

} // namespace

std::string peer_request::seal(const http_request_head& head) const {
    std::string signed_text = head.method + "\n" + head.target + "\n";
    for (const std::string_view name : sealed_names) {
        signed_text.append(head.fields.find(name).value_or(std::string_view{}));
        signed_text.push_back('\n');
    }
    return to_hex(hmac_sha256(m_secret, signed_text));
}

http_request_head peer_request::wrap(const request_context& request, time_point now) const {
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - now);
    http_request_head head = request.head;
    head.fields.set(id_name, request.id);
    head.fields.set(service_name, request.service);
    head.fields.set(remaining_name, std::to_string(remaining.count()));
    head.fields.set(idempotent_name, request.idempotent ? "yes" : "no");
    if (request.claim_key)
        head.fields.set(claim_name, encode_hex(*request.claim_key));
    head.fields.set(fingerprint_name, request.fingerprint);
    head.fields.set(seal_field, seal(head));
    return head;
}

result<request_context> peer_request::unwrap(const http_request_head& head, time_point now) const {
    const auto received_seal = head.fields.find(seal_field);
    if (!received_seal || !equal_in_constant_time(sha256(*received_seal), sha256(seal(head))))
        return failure(error_code::unauthorized, "the request does not come from a host of this fleet");

    request_context request;
    BOOST_OUTCOME_TRY(request.id, required(head, id_name));
    BOOST_OUTCOME_TRY(request.service, required(head, service_name));
    BOOST_OUTCOME_TRY(request.fingerprint, required(head, fingerprint_name));
    BOOST_OUTCOME_TRY(const std::string idempotent, required(head, idempotent_name));
    request.idempotent = idempotent == "yes";
    request.account = head.fields.find(account_name).value_or(std::string_view{});

    BOOST_OUTCOME_TRY(const std::string remaining, required(head, remaining_name));
    std::int64_t milliseconds = 0;
    const auto [end, failed] = std::from_chars(remaining.data(), remaining.data() + remaining.size(), milliseconds);
    if (failed != std::errc() || end != remaining.data() + remaining.size())
        return failure(error_code::invalid_argument, "the remaining time is not a number");
    request.deadline = now + std::chrono::milliseconds(milliseconds);

    if (const auto claim = head.fields.find(claim_name)) {
        BOOST_OUTCOME_TRY(request.claim_key, decode_hex(*claim));
    }

    request.head = head;
    for (const std::string_view name : hop_names)
        request.head.fields.remove(name);
    return request;
}

} // namespace ragworthinge
