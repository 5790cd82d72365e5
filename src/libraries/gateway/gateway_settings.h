#pragma once

#include "base/identifiers.h"
#include "base/log_level.h"
#include "base/time.h"
#include "configuration/finding.h"
#include "configuration/ip_address.h"

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace ragworthinge {

/// Addresses on which a gateway listens.
struct gateway_addresses {
    ip_endpoint callers;
    ip_endpoint readiness;
    ip_endpoint lookups;
    ip_endpoint peers;
    ip_endpoint metrics; ///< Port 0 disables the metrics listener.
};

/// Limits that the deployment sets.
struct gateway_bounds {
    std::chrono::milliseconds lookup_lifetime{5000}; ///< Longest time for which callers cache the response to a lookup.
    std::chrono::milliseconds stop_time{6000};       ///< Time between SIGTERM and SIGKILL.
    double retry_ratio = 0.2;                        ///< Retries per request, over all hosts.
    double extra_retries = 50;                       ///< Retries per window in addition to the ratio.
    std::chrono::milliseconds retry_window{10'000};
};

/// Settings of one gateway process.
struct gateway_settings {
    host_id host;
    region_id region;
    failure_domain_id failure_domain;
    double capacity = 1; ///< Processor cores that the host may use.
    gateway_addresses listen;
    ip_endpoint store;
    std::map<failure_domain_id, region_id> regions; ///< Region of each failure domain.
    gateway_bounds bounds;
    log_level level = log_level::info;
};

struct gateway_settings_result {
    gateway_settings settings;
    std::vector<finding> findings;
    /// Bounds that could not be read. The fallback is used for them, so that the host can run.
    std::vector<finding> replaced_bounds;
};

/// Sorted paths of all supported fields.
std::vector<std::string> gateway_settings_fields();

/// Reads settings from JSON with comments and collects all findings with their positions. Bounds that are missing or
/// cannot be read are taken from `fallback`: another program computes them, and their form must not keep a host from
/// starting.
gateway_settings_result read_gateway_settings(const std::string& file, std::string_view text,
                                              const gateway_bounds& fallback = {});

} // namespace ragworthinge
