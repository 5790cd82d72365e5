#include "operators/command_options.h"
#include "operators/commands.h"

namespace ragworthinge {

int run_steer_command(command_environment& environment, const std::vector<std::string>& arguments) {
    command_options options(environment, "steer",
                            "Runs an entry host with the settings of the platform until it receives SIGTERM.");
    if (const auto code = options.parse(arguments))
        return *code;
    if (!environment.run_gateway)
        return options.fail({error_code::unavailable, "this build contains no platform adapter"});
    return environment.run_gateway();
}

} // namespace ragworthinge
