#pragma once

#include "base/identifiers.h"
#include "base/log_level.h"
#include "base/time.h"
#include "configuration/finding.h"
#include "configuration/ip_address.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
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
    double capacity = 1;                     ///< Processor cores that the host may use.
    std::optional<double> link_mbps;         ///< Speed of the host's link in Mbit/s.
    std::optional<std::int64_t> memory_mb;   ///< Memory that the host may use, in units of 1024 * 1024 bytes.
    std::optional<std::int64_t> descriptors; ///< File descriptors that the host may open.
    gateway_addresses listen;
    ip_endpoint store;
    std::map<failure_domain_id, region_id> regions; ///< Region of each failure domain.
    gateway_bounds bounds;
    log_level level = log_level::info;
};

/// Bytes of the memory that the host may use; absent if the settings do not name it.
std::optional<std::size_t> memory_limit(const gateway_settings& settings);

/// Bytes that may hold bodies of one direction: a fifth of the host's memory, and of 160 MB where the host has less or
/// its memory is unknown. The rest holds the response that is read beyond the limit, the program and its tables.
std::size_t body_memory(const gateway_settings& settings);

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
