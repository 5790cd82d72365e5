#include "host/control_messages.h"

#include "host/budget_json.h"

#include <boost/json.hpp>

#include <chrono>
#include <exception>
#include <utility>

namespace ragworthinge {

namespace {

namespace json = boost::json;

// Field names are short, because heartbeats and reports make up most of the control traffic.

std::int64_t to_microseconds(duration value) {
    return std::chrono::duration_cast<std::chrono::microseconds>(value).count();
}

json::value optional_age(const std::optional<duration>& age) {
    return age ? json::value(to_microseconds(*age)) : json::value(nullptr);
}

std::optional<duration> read_age(const json::value& value) {
    if (value.is_null())
        return std::nullopt;
    return std::chrono::microseconds(value.to_number<std::int64_t>());
}

json::value to_json(const heartbeat& message) {
    json::array free_slots;
    for (const service_free_slots& slots : message.free_slots)
        free_slots.push_back(json::array{slots.service, slots.free_slots, slots.usable_slots});
    json::array silent;
    for (const host_id& host : message.silent_hosts)
        silent.emplace_back(host);
    return json::object{{"h", message.host},
                        {"i", message.incarnation},
                        {"r", message.region},
                        {"d", message.failure_domain},
                        {"l", message.leaving},
                        {"c", message.configuration_revision},
                        {"a", optional_age(message.store_proof_age)},
                        {"p", message.region_page_revision},
                        {"f", std::move(free_slots)},
                        {"s", std::move(silent)}};
}

heartbeat read_heartbeat(const json::value& value) {
    heartbeat message;
    message.host = read_text(value.at("h"));
    message.incarnation = value.at("i").to_number<std::uint64_t>();
    message.region = read_text(value.at("r"));
    message.failure_domain = read_text(value.at("d"));
    message.leaving = value.at("l").as_bool();
    message.configuration_revision = value.at("c").to_number<std::int64_t>();
    message.store_proof_age = read_age(value.at("a"));
    message.region_page_revision = value.at("p").to_number<std::int64_t>();
    for (const json::value& slots : value.at("f").as_array())
        message.free_slots.push_back({.service = read_text(slots.at(0)),
                                      .free_slots = slots.at(1).to_number<std::uint32_t>(),
                                      .usable_slots = slots.at(2).to_number<std::uint32_t>()});
    for (const json::value& host : value.at("s").as_array())
        message.silent_hosts.push_back(read_text(host));
    return message;
}

json::value to_json(const share_report& report) {
    json::array held;
    for (const held_share& share : report.held)
        held.push_back(json::array{to_json(share.budget), to_json(share.held), to_json(share.minimum), share.released});
    json::array demand;
    for (const budget_demand& wanted : report.demand)
        demand.push_back(json::array{to_json(wanted.budget), wanted.rate});
    return json::object{{"o", to_json(report.holder)}, {"e", report.epoch},   {"v", report.applied_version},
                        {"c", report.complete},        {"l", report.leaving}, {"h", std::move(held)},
                        {"d", std::move(demand)}};
}

share_report read_report(const json::value& value) {
    share_report report;
    report.holder = read_holder(value.at("o"));
    report.epoch = value.at("e").to_number<allocator_epoch>();
    report.applied_version = value.at("v").to_number<assignment_version>();
    report.complete = value.at("c").as_bool();
    report.leaving = value.at("l").as_bool();
    for (const json::value& share : value.at("h").as_array())
        report.held.push_back({.budget = read_budget(share.at(0)),
                               .held = read_amount(share.at(1)),
                               .minimum = read_amount(share.at(2)),
                               .released = share.at(3).to_number<units>()});
    for (const json::value& wanted : value.at("d").as_array())
        report.demand.push_back({.budget = read_budget(wanted.at(0)), .rate = wanted.at(1).to_number<units>()});
    return report;
}

json::value to_json(const share_assignment& assignment) {
    json::array shares;
    for (const assigned_share& share : assignment.shares)
        shares.push_back(
            json::array{to_json(share.budget), to_json(share.target), to_json(share.minimum), share.carried});
    return json::object{{"o", to_json(assignment.holder)},
                        {"e", assignment.epoch},
                        {"b", assignment.base_version},
                        {"v", assignment.version},
                        {"s", std::move(shares)}};
}

share_assignment read_assignment(const json::value& value) {
    share_assignment assignment;
    assignment.holder = read_holder(value.at("o"));
    assignment.epoch = value.at("e").to_number<allocator_epoch>();
    assignment.base_version = value.at("b").to_number<assignment_version>();
    assignment.version = value.at("v").to_number<assignment_version>();
    for (const json::value& share : value.at("s").as_array())
        assignment.shares.push_back({.budget = read_budget(share.at(0)),
                                     .target = read_amount(share.at(1)),
                                     .minimum = read_amount(share.at(2)),
                                     .carried = share.at(3).to_number<units>()});
    return assignment;
}

/// Runs a reader; every shape that it does not expect becomes one kind of error.
template <class Message, class Reader>
result<Message> decode_with(std::string_view text, Reader&& reader) {
    try {
        return std::forward<Reader>(reader)(json::parse({text.data(), text.size()}));
    } catch (const std::exception& problem) {
        return failure(error_code::protocol_violation, std::string("control message: ") + problem.what());
    }
}

json::value to_json(const heartbeat_request& message) {
    json::array notes;
    for (const std::string& record : message.poison_records)
        notes.emplace_back(record);
    return json::object{
        {"t", "heartbeat"}, {"m", to_json(message.sender)}, {"u", message.sender_run}, {"n", std::move(notes)}};
}

json::value to_json(const share_exchange_request& message) {
    return json::object{{"t", "shares"}, {"m", to_json(message.report)}};
}

json::value to_json(const share_push& message) {
    return json::object{{"t", "assignment"}, {"m", to_json(message.assignment)}};
}

json::value to_json(const configuration_request& message) {
    return json::object{{"t", "configuration"}, {"m", message.known_revision}};
}

} // namespace

std::string encode(const control_message& message) {
    return json::serialize(std::visit([](const auto& content) { return to_json(content); }, message));
}

std::string encode(const heartbeat_reply& message) {
    return json::serialize(json::object{{"m", to_json(message.responder)},
                                        {"u", message.responder_run},
                                        {"a", optional_age(message.direct_proof_age)},
                                        {"y", message.lists_sender},
                                        {"ca", optional_age(message.configuration_proof_age)},
                                        {"cr", message.proven_revision},
                                        {"e", message.epoch},
                                        {"o", to_json(message.allocator)}});
}

std::string encode(const share_exchange_reply& message) {
    return json::serialize(
        json::object{{"a", message.allocator}, {"e", message.epoch}, {"m", to_json(message.assignment)}});
}

std::string encode(const configuration_reply& message) {
    return json::serialize(json::object{
        {"p", message.pointer}, {"d", message.document ? json::value(*message.document) : json::value(nullptr)}});
}

result<control_message> decode_control_message(std::string_view text) {
    return decode_with<control_message>(text, [](const json::value& value) -> control_message {
        const std::string type = read_text(value.at("t"));
        const json::value& content = value.at("m");
        if (type == "shares")
            return share_exchange_request{read_report(content)};
        if (type == "assignment")
            return share_push{read_assignment(content)};
        if (type == "configuration")
            return configuration_request{content.to_number<std::int64_t>()};
        if (type != "heartbeat")
            throw std::out_of_range("message type");

        heartbeat_request message{.sender = read_heartbeat(content),
                                  .sender_run = value.at("u").to_number<incarnation>(),
                                  .poison_records = {}};
        for (const json::value& note : value.at("n").as_array())
            message.poison_records.push_back(read_text(note));
        return message;
    });
}

result<heartbeat_reply> decode_heartbeat_reply(std::string_view text) {
    return decode_with<heartbeat_reply>(text, [](const json::value& value) -> heartbeat_reply {
        return {.responder = read_heartbeat(value.at("m")),
                .responder_run = value.at("u").to_number<incarnation>(),
                .direct_proof_age = read_age(value.at("a")),
                .lists_sender = value.at("y").as_bool(),
                .configuration_proof_age = read_age(value.at("ca")),
                .proven_revision = value.at("cr").to_number<std::int64_t>(),
                .epoch = value.at("e").to_number<allocator_epoch>(),
                .allocator = read_holder(value.at("o"))};
    });
}

result<share_exchange_reply> decode_share_exchange_reply(std::string_view text) {
    return decode_with<share_exchange_reply>(text, [](const json::value& value) -> share_exchange_reply {
        return {.allocator = value.at("a").as_bool(),
                .epoch = value.at("e").to_number<allocator_epoch>(),
                .assignment = read_assignment(value.at("m"))};
    });
}

result<configuration_reply> decode_configuration_reply(std::string_view text) {
    return decode_with<configuration_reply>(text, [](const json::value& value) -> configuration_reply {
        configuration_reply message{.pointer = read_text(value.at("p")), .document = std::nullopt};
        if (!value.at("d").is_null())
            message.document = read_text(value.at("d"));
        return message;
    });
}

} // namespace ragworthinge
