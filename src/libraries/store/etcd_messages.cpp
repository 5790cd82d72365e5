#include "store/etcd_messages.h"

#include "base/encoding.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <charconv>
#include <utility>

namespace ragworthinge::etcd {

namespace json = boost::json;

namespace {

// gRPC status codes in the error responses of the gateway.
constexpr std::int64_t grpc_invalid_argument = 3;
constexpr std::int64_t grpc_not_found = 5;
constexpr std::int64_t grpc_resource_exhausted = 8;
constexpr std::int64_t grpc_out_of_range = 11;
constexpr unsigned lowest_server_error = 500;
constexpr std::size_t max_error_text_length = 200;

auto malformed_response(std::string_view what) {
    return failure(error_code::protocol_violation, "malformed response from the store: " + std::string(what));
}

/// Exclusive end of the key range that covers the prefix, as etcd's `range_end`; a zero byte means no upper bound.
std::string prefix_range_end(std::string prefix) {
    while (!prefix.empty()) {
        const auto last = static_cast<unsigned char>(prefix.back());
        if (last != 0xff) {
            prefix.back() = static_cast<char>(last + 1);
            return prefix;
        }
        prefix.pop_back();
    }
    return std::string(1, '\0');
}

json::object encode_prefix_range(const std::string& prefix) {
    json::object encoded;
    // A zero byte is the lowest key; the protocol does not allow an empty key.
    encoded["key"] = encode_base64(prefix.empty() ? std::string(1, '\0') : prefix);
    encoded["range_end"] = encode_base64(prefix_range_end(prefix));
    return encoded;
}

json::object encode_compare(const store_compare& compare) {
    json::object encoded;
    encoded["key"] = encode_base64(compare.key);
    encoded["result"] = "EQUAL";
    const bool absent = compare.mod_revision == 0;
    encoded["target"] = absent ? "CREATE" : "MOD";
    encoded[absent ? "create_revision" : "mod_revision"] = std::to_string(compare.mod_revision);
    return encoded;
}

json::object encode_operation(const store_operation& operation) {
    json::object body;
    body["key"] = encode_base64(operation.key);
    json::object encoded;
    switch (operation.type) {
    case store_operation::kind::put:
        body["value"] = encode_base64(operation.value);
        if (operation.lease != 0)
            body["lease"] = std::to_string(operation.lease);
        encoded["request_put"] = std::move(body);
        break;
    case store_operation::kind::get:
        encoded["request_range"] = std::move(body);
        break;
    case store_operation::kind::remove:
        encoded["request_delete_range"] = std::move(body);
        break;
    }
    return encoded;
}

json::array encode_operations(const std::vector<store_operation>& operations) {
    json::array encoded;
    encoded.reserve(operations.size());
    for (const store_operation& operation : operations)
        encoded.emplace_back(encode_operation(operation));
    return encoded;
}

/// Reads a number or a number in a string; an omitted member is zero.
result<std::int64_t> read_number(const json::object& object, std::string_view name) {
    const json::value* member = object.if_contains(name);
    if (member == nullptr)
        return 0;
    if (member->is_int64())
        return member->as_int64();
    if (!member->is_string())
        return malformed_response(std::string(name) + " is not a number");
    const json::string& text = member->as_string();
    std::int64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
        return malformed_response(std::string(name) + " is not a number");
    return number;
}

/// Reads a base64 string; an omitted member is empty.
result<std::string> read_bytes(const json::object& object, std::string_view name) {
    const json::value* member = object.if_contains(name);
    if (member == nullptr)
        return std::string();
    if (!member->is_string())
        return malformed_response(std::string(name) + " is not a string");
    auto decoded = decode_base64(std::string_view(member->as_string()));
    if (!decoded)
        return malformed_response(std::string(name) + " is not base64");
    return decoded;
}

bool read_flag(const json::object& object, std::string_view name) {
    const json::value* member = object.if_contains(name);
    return member != nullptr && member->is_bool() && member->as_bool();
}

/// Returns null if the member is omitted or not an object.
const json::object* find_object(const json::object& object, std::string_view name) {
    const json::value* member = object.if_contains(name);
    return member != nullptr ? member->if_object() : nullptr;
}

/// Reads an array of objects; an omitted member is an empty array.
result<std::vector<const json::object*>> read_objects(const json::object& object, std::string_view name) {
    std::vector<const json::object*> found;
    const json::value* member = object.if_contains(name);
    if (member == nullptr)
        return found;
    if (!member->is_array())
        return malformed_response(std::string(name) + " is not an array");
    for (const json::value& item : member->as_array()) {
        if (!item.is_object())
            return malformed_response(std::string(name) + " contains an element that is not an object");
        found.push_back(&item.as_object());
    }
    return found;
}

result<store_entry> read_entry(const json::object& encoded) {
    store_entry entry;
    BOOST_OUTCOME_TRY(entry.key, read_bytes(encoded, "key"));
    BOOST_OUTCOME_TRY(entry.value, read_bytes(encoded, "value"));
    BOOST_OUTCOME_TRY(entry.create_revision, read_number(encoded, "create_revision"));
    BOOST_OUTCOME_TRY(entry.mod_revision, read_number(encoded, "mod_revision"));
    if (entry.key.empty() || entry.create_revision <= 0 || entry.mod_revision < entry.create_revision)
        return malformed_response("entry has no key or invalid revisions");
    return entry;
}

result<std::vector<store_entry>> read_entries(const json::object& range) {
    std::vector<store_entry> entries;
    BOOST_OUTCOME_TRY(const auto encoded, read_objects(range, "kvs"));
    entries.reserve(encoded.size());
    for (const json::object* item : encoded) {
        BOOST_OUTCOME_TRY(auto entry, read_entry(*item));
        entries.push_back(std::move(entry));
    }
    return entries;
}

result<store_event> read_event(const json::object& encoded) {
    const json::object* entry = find_object(encoded, "kv");
    if (entry == nullptr)
        return malformed_response("event has no key-value pair");
    const json::value* type = encoded.if_contains("type");
    const bool removed = type != nullptr && type->is_string() && type->as_string() == "DELETE";
    store_event event;
    BOOST_OUTCOME_TRY(event.key, read_bytes(*entry, "key"));
    BOOST_OUTCOME_TRY(event.position.revision, read_number(*entry, "mod_revision"));
    if (event.key.empty() || event.position.revision <= 0)
        return malformed_response("event has no key or no revision");
    if (!removed) {
        BOOST_OUTCOME_TRY(event.value, read_bytes(*entry, "value"));
    }
    return event;
}

result<const json::object*> read_stream_result(const json::object& line) {
    const json::object* response = find_object(line, "result");
    if (response == nullptr)
        return malformed_response("stream message has no result");
    return response;
}

} // namespace

std::string range_request(const std::string& key) {
    json::object encoded;
    encoded["key"] = encode_base64(key);
    return json::serialize(encoded);
}

std::string prefix_request(const std::string& prefix) {
    return json::serialize(encode_prefix_range(prefix));
}

std::string transaction_request(const store_transaction& transaction) {
    json::array compares;
    compares.reserve(transaction.compares.size());
    for (const store_compare& compare : transaction.compares)
        compares.emplace_back(encode_compare(compare));
    json::object encoded;
    encoded["compare"] = std::move(compares);
    encoded["success"] = encode_operations(transaction.success);
    encoded["failure"] = encode_operations(transaction.failure);
    return json::serialize(encoded);
}

std::string lease_grant_request(std::chrono::seconds ttl) {
    json::object encoded;
    encoded["TTL"] = std::to_string(ttl.count());
    return json::serialize(encoded);
}

std::string lease_keepalive_request(std::int64_t lease) {
    json::object encoded;
    encoded["ID"] = std::to_string(lease);
    return json::serialize(encoded);
}

std::string watch_request(const std::string& prefix, std::int64_t first_revision) {
    json::object create = encode_prefix_range(prefix);
    create["start_revision"] = std::to_string(first_revision);
    json::object encoded;
    encoded["create_request"] = std::move(create);
    return json::serialize(encoded);
}

result<json::object> parse_object(std::string_view text) {
    boost::system::error_code problem;
    json::value parsed = json::parse(text, problem);
    if (problem)
        return malformed_response(problem.message());
    if (!parsed.is_object())
        return malformed_response("not a JSON object");
    return std::move(parsed.as_object());
}

result<std::int64_t> read_revision(const json::object& response) {
    const json::object* header = find_object(response, "header");
    if (header == nullptr)
        return malformed_response("response has no header");
    BOOST_OUTCOME_TRY(const std::int64_t revision, read_number(*header, "revision"));
    if (revision <= 0)
        return malformed_response("response header has no revision");
    return revision;
}

result<store_range> read_range(const json::object& response) {
    store_range range;
    BOOST_OUTCOME_TRY(range.position.revision, read_revision(response));
    BOOST_OUTCOME_TRY(range.entries, read_entries(response));
    return range;
}

result<store_transaction_result> read_transaction(const json::object& response) {
    store_transaction_result outcome;
    outcome.succeeded = read_flag(response, "succeeded");
    BOOST_OUTCOME_TRY(outcome.position.revision, read_revision(response));
    BOOST_OUTCOME_TRY(const auto responses, read_objects(response, "responses"));
    for (const json::object* operation_response : responses) {
        const json::object* range = find_object(*operation_response, "response_range");
        if (range == nullptr)
            continue;
        BOOST_OUTCOME_TRY(auto entries, read_entries(*range));
        for (store_entry& entry : entries)
            outcome.entries.push_back(std::move(entry));
    }
    return outcome;
}

result<std::int64_t> read_lease_id(const json::object& response) {
    BOOST_OUTCOME_TRY(const std::int64_t lease, read_number(response, "ID"));
    if (lease == 0)
        return malformed_response("lease has no id");
    return lease;
}

result<std::chrono::seconds> read_lease_ttl(const json::object& response) {
    BOOST_OUTCOME_TRY(const json::object* keepalive, read_stream_result(response));
    BOOST_OUTCOME_TRY(read_revision(*keepalive));
    BOOST_OUTCOME_TRY(const std::int64_t ttl, read_number(*keepalive, "TTL"));
    return std::chrono::seconds(ttl);
}

result<watch_message> read_watch_message(std::string_view line) {
    BOOST_OUTCOME_TRY(const json::object parsed, parse_object(line));
    BOOST_OUTCOME_TRY(const json::object* response, read_stream_result(parsed));
    watch_message message;
    BOOST_OUTCOME_TRY(message.revision, read_revision(*response));
    BOOST_OUTCOME_TRY(const std::int64_t compact_revision, read_number(*response, "compact_revision"));
    message.canceled = read_flag(*response, "canceled");
    message.compacted = message.canceled && compact_revision > 0;
    BOOST_OUTCOME_TRY(const auto events, read_objects(*response, "events"));
    for (const json::object* encoded : events) {
        BOOST_OUTCOME_TRY(auto event, read_event(*encoded));
        message.events.push_back(std::move(event));
    }
    return message;
}

error read_error(unsigned status, std::string_view body) {
    std::string message = "HTTP status " + std::to_string(status);
    std::int64_t code = 0;
    if (const auto parsed = parse_object(body)) {
        code = read_number(parsed.value(), "code").has_value() ? read_number(parsed.value(), "code").value() : 0;
        const json::value* text = parsed.value().if_contains("message");
        if (text != nullptr && text->is_string())
            message = std::string(text->as_string()).substr(0, max_error_text_length);
    }
    if (status >= lowest_server_error)
        return {error_code::unavailable, message};
    if (code == grpc_not_found || code == grpc_out_of_range)
        return {error_code::not_found, message};
    if (code == grpc_invalid_argument)
        return {error_code::invalid_argument, message};
    if (code == grpc_resource_exhausted)
        return {error_code::budget_exhausted, message};
    return {error_code::protocol_violation, message};
}

} // namespace ragworthinge::etcd
