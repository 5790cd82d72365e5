#pragma once

#include <cstdint>
#include <string>

namespace ragworthinge {

/// Names from the configuration, compared byte by byte.
using host_id = std::string;
using region_id = std::string;
using failure_domain_id = std::string;
using service_id = std::string;
using upstream_id = std::string;
using account_id = std::string;
using request_id = std::string;

/// Random number drawn at process start; distinguishes successive processes with the same host id.
using incarnation = std::uint64_t;

/// Number of an accepted configuration; incremented by one with each.
using configuration_revision = std::int64_t;

} // namespace ragworthinge
