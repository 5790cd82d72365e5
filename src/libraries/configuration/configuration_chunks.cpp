#include "configuration/configuration_chunks.h"

#include "base/digest.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace ragworthinge {

namespace {

std::string text_member(const boost::json::object& members, std::string_view name) {
    const auto* value = members.if_contains(name);
    if (value == nullptr || !value->is_string())
        return {};
    return {value->get_string().data(), value->get_string().size()};
}

std::int64_t integer_member(const boost::json::object& members, std::string_view name) {
    const auto* value = members.if_contains(name);
    return value != nullptr && value->is_int64() ? value->get_int64() : 0;
}

} // namespace

std::string print_pointer(const configuration_pointer& pointer) {
    return boost::json::serialize(boost::json::object{
        {"revision", pointer.revision}, {"digest", pointer.digest}, {"chunks", pointer.chunks}, {"tag", pointer.tag}});
}

result<configuration_pointer> parse_pointer(std::string_view value) {
    boost::system::error_code failed;
    const auto parsed = boost::json::parse(value, failed);
    if (failed || !parsed.is_object())
        return failure(error_code::protocol_violation, "the configuration pointer is no JSON object");
    const auto& members = parsed.get_object();
    const auto chunks = integer_member(members, "chunks");
    configuration_pointer pointer;
    pointer.revision = integer_member(members, "revision");
    pointer.digest = text_member(members, "digest");
    pointer.tag = text_member(members, "tag");
    if (pointer.revision < 1 || pointer.digest.size() != 2 * digest_bytes || chunks < 1 ||
        chunks > static_cast<std::int64_t>(maximum_chunks))
        return failure(error_code::protocol_violation, "the configuration pointer lacks a usable field");
    pointer.chunks = static_cast<std::size_t>(chunks);
    return pointer;
}

std::string chunk_key(configuration_revision revision, std::size_t number) {
    return "configuration/" + std::to_string(revision) + "/" + std::to_string(number);
}

std::string audit_key(configuration_revision revision) {
    return "audit/" + std::to_string(revision);
}

std::string content_digest(std::string_view content) {
    return to_hex(sha256(content));
}

result<std::vector<std::string>> split_content(std::string_view content, std::size_t chunk_bytes) {
    std::vector<std::string> chunks;
    do {
        chunks.emplace_back(content.substr(0, chunk_bytes));
        content.remove_prefix(chunks.back().size());
    } while (!content.empty());
    if (chunks.size() > maximum_chunks)
        return failure(error_code::invalid_argument, "the configuration needs " + std::to_string(chunks.size()) +
                                                         " chunks, at most " + std::to_string(maximum_chunks) +
                                                         " are allowed");
    return chunks;
}

result<std::string> join_chunks(const configuration_pointer& pointer, const std::vector<std::string>& chunks) {
    if (chunks.size() != pointer.chunks)
        return failure(error_code::protocol_violation,
                       "expected " + std::to_string(pointer.chunks) + " chunks, got " + std::to_string(chunks.size()));
    std::string content;
    for (const auto& chunk : chunks)
        content += chunk;
    if (content_digest(content) != pointer.digest)
        return failure(error_code::protocol_violation, "the configuration's digest does not match its pointer");
    return content;
}

} // namespace ragworthinge
