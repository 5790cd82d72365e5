#pragma once

#include "configuration/fleet_configuration.h"

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>

#include <string>
#include <vector>

namespace ragworthinge {

enum class difference_kind { added, removed, changed };

/// One difference between two configurations.
struct configuration_change {
    difference_kind kind = difference_kind::changed;
    std::string path;          ///< List elements appear by name: "client_accounts[norte].burst".
    boost::json::value before; ///< Null if added.
    boost::json::value after;  ///< Null if removed.
};

/// All differences in the order of the document. The order of lists does not matter.
std::vector<configuration_change> compare_configurations(const fleet_configuration& before,
                                                         const fleet_configuration& after);

/// One line per change: "+ PATH: VALUE", "- PATH: VALUE" or "~ PATH: BEFORE -> AFTER".
std::string to_text(const std::vector<configuration_change>& changes);

/// Objects with the members kind, path, before and after.
boost::json::array to_json(const std::vector<configuration_change>& changes);

} // namespace ragworthinge
