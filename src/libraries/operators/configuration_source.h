#pragma once

#include "configuration/configuration_difference.h"
#include "operators/command_options.h"

#include <string>
#include <vector>

namespace ragworthinge {

/// Whether a configuration named on the command line is read from the store: a revision or "current". Any other name is
/// a file.
bool is_stored_source(const std::string& source);

/// Differences between two configurations, each a file, a revision or "current". Errors: those of the store, not_found,
/// invalid_argument for a file with findings, which are printed.
result<std::vector<configuration_change>> compare_sources(const command_options& options, const std::string& before,
                                                          const std::string& after);

} // namespace ragworthinge
