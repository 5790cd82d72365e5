#include "operators/audit_record.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace ragworthinge {

namespace {

std::string string_member(const boost::json::object& members, std::string_view name) {
    const auto* value = members.if_contains(name);
    if (value == nullptr || !value->is_string())
        return {};
    return {value->get_string().data(), value->get_string().size()};
}

} // namespace

std::string print_audit_record(const audit_record& record) {
    return boost::json::serialize(boost::json::object{{"revision", record.pointer.revision},
                                                      {"digest", record.pointer.digest},
                                                      {"chunks", record.pointer.chunks},
                                                      {"tag", record.pointer.tag},
                                                      {"previous", record.previous},
                                                      {"operator", record.operator_name},
                                                      {"action", record.action},
                                                      {"time", record.time},
                                                      {"comment", record.comment},
                                                      {"changes", record.changes}});
}

result<audit_record> parse_audit_record(std::string_view value) {
    audit_record record;
    // The record contains all members of the pointer, so that load_revision() can read an earlier revision through it.
    BOOST_OUTCOME_TRY(record.pointer, parse_pointer(value));
    const auto parsed = boost::json::parse(value);
    const auto& members = parsed.get_object();
    if (const auto* previous = members.if_contains("previous"); previous != nullptr && previous->is_int64())
        record.previous = previous->get_int64();
    record.operator_name = string_member(members, "operator");
    record.action = string_member(members, "action");
    record.time = string_member(members, "time");
    record.comment = string_member(members, "comment");
    record.changes = string_member(members, "changes");
    return record;
}

} // namespace ragworthinge
