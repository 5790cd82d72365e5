#include "configuration/fleet_configuration_printer.h"
#include "configuration/fleet_configuration_reader.h"
#include "operators/command_options.h"
#include "operators/commands.h"
#include "operators/configuration_source.h"
#include "operators/exit_code.h"

#include <boost/json/array.hpp>
#include <boost/program_options/value_semantic.hpp>

#include <ostream>

namespace ragworthinge {

namespace {

/// What was found in all files together.
struct check_report {
    std::vector<finding> findings;
    std::vector<finding> warnings;
    std::string canonical;                     ///< Canonical form of the valid configurations, only with --print.
    std::vector<configuration_change> changes; ///< Only with --against.
};

void check_text(const command_options& options, const std::string& file, const std::string& text,
                check_report& report) {
    if (options.has("settings")) {
        const auto findings = read_host_settings(file, text).findings;
        report.findings.insert(report.findings.end(), findings.begin(), findings.end());
        return;
    }
    const auto read = read_fleet_configuration(file, text);
    report.findings.insert(report.findings.end(), read.findings.begin(), read.findings.end());
    report.warnings.insert(report.warnings.end(), read.warnings.begin(), read.warnings.end());
    if (read.findings.empty() && options.has("print"))
        report.canonical += print_configuration(read.configuration);
}

boost::json::array to_json(const std::vector<finding>& problems) {
    boost::json::array list;
    for (const auto& problem : problems)
        list.push_back(to_json(problem));
    return list;
}

std::string to_report_text(const command_options& options, const check_report& report) {
    if (!report.findings.empty())
        return {};
    if (options.has("print"))
        return report.canonical;
    std::string text = report.warnings.empty() ? "no findings\n" : "";
    if (options.has("against"))
        text += report.changes.empty() ? "no differences\n" : to_text(report.changes);
    return text;
}

int print_report(const command_options& options, const check_report& report) {
    if (!options.is_json()) {
        *options.environment().errors << to_text(report.findings);
        for (const auto& warning : report.warnings)
            *options.environment().errors << "warning: " << to_text(warning) << "\n";
    }
    boost::json::object document{{"findings", to_json(report.findings)}, {"warnings", to_json(report.warnings)}};
    if (options.has("against"))
        document["changes"] = to_json(report.changes);
    options.print(to_report_text(options, report), document);
    const bool is_refused = !report.findings.empty() || (options.has("strict") && !report.warnings.empty());
    return is_refused ? exit_refused : exit_success;
}

int compare_and_print(const command_options& options, const std::string& file, check_report& report) {
    auto changes = compare_sources(options, options.text("against"), file);
    if (!changes)
        return options.fail(changes.error());
    report.changes = std::move(changes).value();
    return print_report(options, report);
}

} // namespace

int run_check_command(command_environment& environment, const std::vector<std::string>& arguments) {
    namespace options_library = boost::program_options;
    command_options options(environment, "check [--settings] [--print] [--against SOURCE] [--strict] FILE...",
                            "Checks files and reports all problems with their positions. Warnings name entries that\n"
                            "have no effect and limits that contradict each other.");
    options.add()("settings", "the files are host settings, not configurations");
    options.add()("print", "print each valid configuration in canonical form");
    options.add()("against", options_library::value<std::string>(),
                  "also print the differences from a file, a revision or 'current', the configuration in force");
    options.add()("store", options_library::value<std::vector<std::string>>(), "IP:PORT of the store; repeatable");
    options.add()("strict", "exit with 1 if there are warnings");
    options.add()("file", options_library::value<std::vector<std::string>>()->required(), "file to check");
    options.add_positional("file", -1);
    if (const auto code = options.parse(arguments))
        return *code;
    const auto files = options.texts("file");
    if (options.has("against") && (files.size() != 1 || options.has("settings") || options.has("print")))
        return options.fail_usage("the option '--against' takes one configuration and neither --settings nor --print");
    if (options.has("against") && is_stored_source(options.text("against")) && !options.has("store"))
        return options.fail_usage("the option '--store' is required to compare with the store's configuration");
    check_report report;
    for (const auto& file : files) {
        const auto text = environment.read_file(file);
        if (!text)
            return options.fail(text.error());
        check_text(options, file, text.value(), report);
    }
    if (!options.has("against") || !report.findings.empty())
        return print_report(options, report);
    return environment.run_blocking([&] { return compare_and_print(options, files[0], report); });
}

} // namespace ragworthinge
