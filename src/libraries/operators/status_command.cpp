#include "operators/commands.h"
#include "operators/control_client.h"

namespace ragworthinge {

int run_status_command(command_environment& environment, const std::vector<std::string>& arguments) {
    command_options options(environment, "status --control IP:PORT... --token-file FILE",
                            "Prints the state of each given host.");
    options.add_control();
    if (const auto code = options.parse(arguments))
        return *code;
    return environment.run_blocking(
        [&] { return call_hosts(options, "GET", "/control/status", host_selection::every_host); });
}

} // namespace ragworthinge
