#include "operators/configuration_edit.h"

#include "base/encoding.h"
#include "configuration/fleet_configuration_printer.h"
#include "configuration/fleet_configuration_reader.h"
#include "operators/exit_code.h"

#include <ostream>

namespace ragworthinge {

namespace {

// With 128 random bits no two submissions get the same tag in practice.
constexpr std::size_t tag_bytes = 16;

int print_outcome(const command_options& options, const submission_outcome& outcome,
                  const std::vector<accepted_detail>& details) {
    boost::json::object json = {{"outcome", outcome.state == submission_state::accepted    ? "accepted"
                                            : outcome.state == submission_state::unchanged ? "unchanged"
                                                                                           : "conflict"},
                                {"revision", outcome.revision},
                                {"changes", to_json(outcome.changes)}};
    const auto revision = std::to_string(outcome.revision);
    if (outcome.state == submission_state::conflict) {
        *options.environment().errors << "error: conflict: revision " << revision
                                      << " came first; nothing was changed. Differences from revision " << revision
                                      << " to your configuration:\n"
                                      << to_text(outcome.changes);
        options.print({}, json);
        return exit_conflict;
    }
    if (outcome.state == submission_state::unchanged) {
        options.print("revision " + revision + " already has this content; nothing was changed\n", json);
        return exit_success;
    }
    std::string text = "revision " + revision + " is in force\n" + to_text(outcome.changes);
    for (const auto& detail : details) {
        text += detail.name + ": " + detail.value + "\n";
        json[detail.name] = detail.value;
    }
    options.print(text, json);
    return exit_success;
}

result<void> check_expected(const command_options& options, const stored_configuration& current) {
    if (!options.has("expect") || options.get<std::int64_t>("expect") == current.pointer.revision)
        return boost::outcome_v2::success();
    return failure(error_code::conflict, "revision " + std::to_string(current.pointer.revision) +
                                             " is in force, expected " +
                                             std::to_string(options.get<std::int64_t>("expect")));
}

result<submission_outcome> run_submission(const command_options& options, const std::string& action,
                                          const configuration_edit& edit) {
    BOOST_OUTCOME_TRY(const auto store, options.connect_store());
    configuration_submitter submitter(*store);
    BOOST_OUTCOME_TRY(const auto current, submitter.load_current());
    submission requested;
    requested.configuration = current.configuration;
    requested.operator_name = options.text("operator");
    requested.action = action;
    requested.time = options.environment().now();
    BOOST_OUTCOME_TRY(const auto random, options.environment().random_bytes(tag_bytes));
    requested.tag = encode_hex(random);
    BOOST_OUTCOME_TRY(edit(submitter, current, requested));
    if (options.has("comment"))
        requested.configuration.revision_comment = options.text("comment");
    const auto expected = check_expected(options, current);
    if (!expected) {
        *options.environment().errors << to_text(
            compare_configurations(current.configuration, requested.configuration));
        return expected.error();
    }
    return submitter.submit(current, requested);
}

} // namespace

int submit_edit(const command_options& options, const std::string& action, const configuration_edit& edit,
                const std::vector<accepted_detail>& details) {
    return options.environment().run_blocking([&] {
        const auto outcome = run_submission(options, action, edit);
        if (!outcome)
            return options.fail(outcome.error());
        return print_outcome(options, outcome.value(), details);
    });
}

result<fleet_configuration> read_configuration_file(command_environment& environment, const std::string& file) {
    BOOST_OUTCOME_TRY(const auto text, environment.read_file(file));
    auto read = read_fleet_configuration(file, text);
    if (read.findings.empty())
        return std::move(read.configuration);
    *environment.errors << to_text(read.findings);
    return failure(error_code::invalid_argument, file + " has " + std::to_string(read.findings.size()) + " findings");
}

} // namespace ragworthinge
