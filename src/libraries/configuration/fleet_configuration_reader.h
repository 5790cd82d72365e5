#pragma once

#include "configuration/finding.h"
#include "configuration/fleet_configuration.h"

#include <string>
#include <string_view>
#include <vector>

namespace ragworthinge {

/// A configuration and all problems found. The configuration is usable only if there are no findings.
struct fleet_configuration_result {
    fleet_configuration configuration;
    std::vector<finding> findings;
    /// Entries of a usable configuration that have no effect or contradict each other. Empty if there are findings.
    std::vector<finding> warnings;
};

/// Reads and validates a configuration completely. The revision is not part of the document and stays 0.
fleet_configuration_result read_fleet_configuration(const std::string& file, std::string_view text);

/// Every field that the reader knows, as a path with "[]" for list elements, sorted.
std::vector<std::string> fleet_configuration_fields();

} // namespace ragworthinge
