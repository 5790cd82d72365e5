#include "operators/audit_record.h"
#include "operators/command_options.h"
#include "operators/commands.h"
#include "operators/exit_code.h"

#include <boost/json/array.hpp>
#include <boost/program_options/value_semantic.hpp>

#include <algorithm>

namespace ragworthinge {

namespace {

constexpr std::string_view audit_prefix = "audit/";

result<std::vector<audit_record>> load_records(const command_options& options) {
    BOOST_OUTCOME_TRY(const auto store, options.connect_store());
    BOOST_OUTCOME_TRY(const auto range, store->get_prefix(std::string(audit_prefix)));
    std::vector<audit_record> records;
    for (const auto& entry : range.entries) {
        auto record = parse_audit_record(entry.value);
        if (!record)
            return failure(error_code::protocol_violation, "the audit record " + entry.key + " is malformed");
        records.push_back(std::move(record).value());
    }
    // The store sorts keys as text, which puts revision 10 before revision 9.
    std::sort(records.begin(), records.end(), [](const audit_record& left, const audit_record& right) {
        return left.pointer.revision > right.pointer.revision;
    });
    return records;
}

std::string to_text(const audit_record& record, bool with_changes) {
    std::string text = "revision " + std::to_string(record.pointer.revision) + "  " + record.time + "  " +
                       record.operator_name + "  " + record.action;
    if (!record.comment.empty())
        text += "  \"" + record.comment + "\"";
    return text + "\n" + (with_changes ? record.changes : std::string{});
}

boost::json::object to_json(const audit_record& record) {
    return {{"revision", record.pointer.revision}, {"time", record.time},
            {"operator", record.operator_name},    {"action", record.action},
            {"comment", record.comment},           {"digest", record.pointer.digest},
            {"previous", record.previous},         {"changes", record.changes}};
}

int print_audit(const command_options& options) {
    auto records = load_records(options);
    if (!records)
        return options.fail(records.error());
    const auto limit = std::min<std::size_t>(options.get<std::size_t>("limit"), records.value().size());
    std::string text;
    boost::json::array list;
    for (std::size_t i = 0; i < limit; ++i) {
        text += to_text(records.value()[i], options.has("changes"));
        list.push_back(to_json(records.value()[i]));
    }
    options.print(text, boost::json::object{{"records", list}});
    return exit_success;
}

} // namespace

int run_audit_command(command_environment& environment, const std::vector<std::string>& arguments) {
    command_options options(environment, "audit --store IP:PORT [--limit N] [--changes]",
                            "Lists accepted configurations with operator, time and action, newest first.");
    options.add_store();
    options.add()("limit", boost::program_options::value<std::size_t>()->default_value(20),
                  "maximum number of records to print");
    options.add()("changes", "also print the changes of each revision");
    if (const auto code = options.parse(arguments))
        return *code;
    return environment.run_blocking([&] { return print_audit(options); });
}

} // namespace ragworthinge
