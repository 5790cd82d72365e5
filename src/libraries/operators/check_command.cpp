#include "configuration/fleet_configuration_printer.h"
#include "configuration/fleet_configuration_reader.h"
#include "operators/command_options.h"
#include "operators/commands.h"
#include "operators/exit_code.h"

#include <boost/json/array.hpp>
#include <boost/program_options/value_semantic.hpp>

#include <ostream>

namespace ragworthinge {

namespace {

struct check_result {
    std::vector<finding> findings;
    std::string canonical; ///< Canonical form of a valid configuration, only with --print.
};

check_result check_text(const command_options& options, const std::string& file, const std::string& text) {
    if (options.has("settings"))
        return {read_host_settings(file, text).findings, {}};
    auto read = read_fleet_configuration(file, text);
    if (!read.findings.empty())
        return {std::move(read.findings), {}};
    return {{}, options.has("print") ? print_configuration(read.configuration) : std::string{}};
}

int print_findings(const command_options& options, const std::vector<finding>& findings) {
    boost::json::array list;
    for (const auto& problem : findings)
        list.push_back(to_json(problem));
    if (!options.is_json())
        *options.environment().errors << to_text(findings);
    options.print(findings.empty() ? "no findings\n" : "", boost::json::object{{"findings", list}});
    return findings.empty() ? exit_success : exit_refused;
}

} // namespace

int run_check_command(command_environment& environment, const std::vector<std::string>& arguments) {
    command_options options(environment, "check [--settings] [--print] FILE...",
                            "Checks files and reports all problems with their positions.");
    options.add()("settings", "the files are host settings, not configurations");
    options.add()("print", "print each valid configuration in canonical form");
    options.add()("file", boost::program_options::value<std::vector<std::string>>()->required(), "file to check");
    options.add_positional("file", -1);
    if (const auto code = options.parse(arguments))
        return *code;
    std::vector<finding> findings;
    std::string canonical;
    for (const auto& file : options.texts("file")) {
        const auto text = environment.read_file(file);
        if (!text)
            return options.fail(text.error());
        const auto checked = check_text(options, file, text.value());
        findings.insert(findings.end(), checked.findings.begin(), checked.findings.end());
        canonical += checked.canonical;
    }
    if (!options.has("print") || !findings.empty())
        return print_findings(options, findings);
    *environment.output << canonical;
    return exit_success;
}

} // namespace ragworthinge
