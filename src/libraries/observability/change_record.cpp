#include "observability/change_record.h"

#include <boost/json.hpp>

#include <chrono>

namespace ragworthinge {

namespace {

using std::chrono::milliseconds;

result<std::string> read_text(const boost::json::object& object, std::string_view name) {
    const boost::json::value* value = object.if_contains(name);
    if (value == nullptr || !value->is_string())
        return failure(error_code::protocol_violation, "audit record: no text in field \"" + std::string(name) + "\"");
    return std::string(value->get_string());
}

result<std::int64_t> read_number(const boost::json::object& object, std::string_view name) {
    const boost::json::value* value = object.if_contains(name);
    if (value == nullptr || !value->is_int64())
        return failure(error_code::protocol_violation,
                       "audit record: no number in field \"" + std::string(name) + "\"");
    return value->get_int64();
}

} // namespace

std::string change_record::to_json() const {
    const boost::json::object object{
        {"who", who},
        {"unix_time_ms", std::chrono::duration_cast<milliseconds>(at.time_since_epoch()).count()},
        {"base_revision", base_revision},
        {"new_revision", new_revision},
        {"cause", cause},
        {"difference", difference}};
    return boost::json::serialize(object);
}

result<change_record> change_record::from_json(std::string_view text) {
    boost::system::error_code problem;
    const boost::json::value value = boost::json::parse({text.data(), text.size()}, problem);
    if (problem || !value.is_object())
        return failure(error_code::protocol_violation, "audit record: not a JSON object");

    const boost::json::object& object = value.get_object();
    change_record record;
    BOOST_OUTCOME_TRY(record.who, read_text(object, "who"));
    BOOST_OUTCOME_TRY(const std::int64_t at, read_number(object, "unix_time_ms"));
    // Later times would overflow in the conversion to the unit of the clock.
    constexpr std::int64_t year_2200 = 7'258'118'400'000;
    if (at < 0 || at > year_2200)
        return failure(error_code::protocol_violation, "audit record: time out of range");
    record.at = wall_time(milliseconds(at));
    BOOST_OUTCOME_TRY(record.base_revision, read_number(object, "base_revision"));
    BOOST_OUTCOME_TRY(record.new_revision, read_number(object, "new_revision"));
    BOOST_OUTCOME_TRY(record.cause, read_text(object, "cause"));
    BOOST_OUTCOME_TRY(record.difference, read_text(object, "difference"));
    return record;
}

std::string change_store_key(configuration_revision revision) {
    return "audit/" + std::to_string(revision);
}

} // namespace ragworthinge
