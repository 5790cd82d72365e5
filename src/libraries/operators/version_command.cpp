#include "operators/command_options.h"
#include "operators/commands.h"
#include "operators/exit_code.h"

namespace ragworthinge {

int run_version_command(command_environment& environment, const std::vector<std::string>& arguments) {
    constexpr const char* version = "0.1.0";
    command_options options(environment, "version", "Prints the version of the program.");
    if (const auto code = options.parse(arguments))
        return *code;
    options.print(std::string("ragworthinge ") + version + "\n", boost::json::object{{"version", version}});
    return exit_success;
}

} // namespace ragworthinge
