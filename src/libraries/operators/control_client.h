#pragma once

#include "operators/command_options.h"

#include <boost/json/value.hpp>

#include <string>

namespace ragworthinge {

/// Whether a request is sent to all given hosts or only until one of them responds successfully.
enum class host_selection { every_host, first_reachable };

/// Calls the control endpoints given on the command line and prints their JSON responses; errors go to standard error.
/// Returns 0 if all calls succeeded, or with `first_reachable` if any did, otherwise the exit code of the first
/// failure.
int call_hosts(const command_options& options, const std::string& method, const std::string& target,
               host_selection selection);

/// Percent-encodes all characters except the unreserved ones (RFC 3986), for use in a query.
std::string encode_query_value(std::string_view text);

/// Formats JSON as lines "name: value", with nested values indented.
std::string to_plain_text(const boost::json::value& content);

} // namespace ragworthinge
