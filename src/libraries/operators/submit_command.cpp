#include "operators/command_options.h"
#include "operators/commands.h"
#include "operators/configuration_edit.h"

#include <boost/program_options/value_semantic.hpp>

namespace ragworthinge {

int run_submit_command(command_environment& environment, const std::vector<std::string>& arguments) {
    command_options options(environment, "submit FILE --store IP:PORT --operator NAME [--expect REVISION]",
                            "Checks a configuration and puts it in force on all hosts.");
    options.add_submission();
    options.add()("file", boost::program_options::value<std::string>()->required(), "configuration file");
    options.add_positional("file", 1);
    if (const auto code = options.parse(arguments))
        return *code;
    auto configuration = read_configuration_file(environment, options.text("file"));
    if (!configuration)
        return options.fail(configuration.error());
    const auto replace = [&](configuration_submitter&, const stored_configuration&,
                             submission& requested) -> result<void> {
        requested.configuration = configuration.value();
        return boost::outcome_v2::success();
    };
    return submit_edit(options, "submit", replace);
}

} // namespace ragworthinge
