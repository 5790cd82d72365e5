#include "operators/command_options.h"
#include "operators/commands.h"
#include "operators/exit_code.h"

#include <boost/program_options/value_semantic.hpp>

#include <ostream>

namespace ragworthinge {

int run_host_command(command_environment& environment, const std::vector<std::string>& arguments) {
    command_options options(environment, "host --settings FILE", "Runs a host until it receives SIGTERM.");
    options.add()("settings", boost::program_options::value<std::string>()->required(), "settings file of this host");
    if (const auto code = options.parse(arguments))
        return *code;
    const auto file = options.text("settings");
    const auto text = environment.read_file(file);
    if (!text)
        return options.fail(text.error());
    const auto read = read_host_settings(file, text.value());
    if (!read.findings.empty()) {
        *environment.errors << to_text(read.findings);
        return exit_refused;
    }
    if (!environment.run_host)
        return options.fail({error_code::unavailable, "this build cannot run a host"});
    return environment.run_host(read.settings);
}

} // namespace ragworthinge
