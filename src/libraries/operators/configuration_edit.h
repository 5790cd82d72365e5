#pragma once

#include "operators/command_options.h"
#include "operators/configuration_submitter.h"

#include <functional>
#include <string>
#include <vector>

namespace ragworthinge {

/// Edits the requested configuration, initially a copy of the current one. An error cancels the submission.
using configuration_edit =
    std::function<result<void>(configuration_submitter&, const stored_configuration& current, submission& requested)>;

/// Additional output that is printed only if the submission is accepted.
struct accepted_detail {
    std::string name;
    std::string value;
};

/// Loads the current configuration, edits, validates and submits it, and prints the outcome. Returns the exit code.
int submit_edit(const command_options& options, const std::string& action, const configuration_edit& edit,
                const std::vector<accepted_detail>& details = {});

/// Reads a configuration file. If it has findings, prints them on standard error and returns invalid_argument.
result<fleet_configuration> read_configuration_file(command_environment& environment, const std::string& file);

} // namespace ragworthinge
