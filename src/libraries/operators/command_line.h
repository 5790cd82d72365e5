#pragma once

#include "operators/command_environment.h"

#include <string>
#include <vector>

namespace ragworthinge {

/// Runs the subcommand named by the arguments in the real environment and returns the exit code of the process.
int run_command_line(const std::vector<std::string>& arguments);

/// Runs the subcommand named by the arguments in the given environment and returns the exit code of the process.
int run_command_line(command_environment& environment, const std::vector<std::string>& arguments);

} // namespace ragworthinge
