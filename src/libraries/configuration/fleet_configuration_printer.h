#pragma once

#include "configuration/fleet_configuration.h"

#include <boost/json/object.hpp>

#include <string>

namespace ragworthinge {

/// The configuration as JSON: all fields in the order of the settings reference, all lists sorted by their names.
boost::json::object to_json(const fleet_configuration& configuration);

/// Deterministic text: equal configurations give equal bytes, and reading and printing the text again gives the same
/// bytes. The revision is not printed; the store's pointer carries it.
std::string print_configuration(const fleet_configuration& configuration);

/// Deterministic text of any JSON value. Lists and objects that contain objects get one line per element; all others
/// stand on one line. The operators' Python library prints the same form.
std::string print_json(const boost::json::value& value);

} // namespace ragworthinge
