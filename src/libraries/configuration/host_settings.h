#pragma once

#include "base/identifiers.h"
#include "base/log_level.h"
#include "base/result.h"
#include "configuration/finding.h"
#include "configuration/ip_address.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragworthinge {

/// Addresses on which a host listens. They are also the addresses that others use, so none may be unspecified.
struct listen_settings {
    ip_endpoint caller;
    ip_endpoint peer;
    ip_endpoint control;
};

/// Another host of the fleet.
struct peer_settings {
    host_id host;
    region_id region;
    failure_domain_id failure_domain;
    ip_endpoint caller;
    ip_endpoint peer;
};

struct store_settings {
    std::vector<ip_endpoint> endpoints;
    region_id region; ///< Region in which the store runs; key freshness depends on it.
};

/// Names of files that hold secrets. The settings never hold a secret itself.
struct secret_settings {
    std::string fleet_key_file;
    std::string operator_token_file;
};

struct log_settings {
    log_level level = log_level::info;
};

/// TLS towards callers.
struct tls_settings {
    std::string certificate_file;
    std::string key_file;
};

/// What one host reads at its start.
struct host_settings {
    host_id host;
    region_id region;
    failure_domain_id failure_domain;
    listen_settings listen;
    std::vector<peer_settings> peers;
    store_settings store;
    secret_settings secrets;
    log_settings log;
    std::optional<tls_settings> tls;
};

/// Settings and all problems found. The settings are usable only if there are no findings.
struct host_settings_result {
    host_settings settings;
    std::vector<finding> findings;
};

/// Reads settings; `file` is used in findings. Findings never repeat a value from `secrets` or `tls`.
host_settings_result read_host_settings(const std::string& file, std::string_view text);

/// Every field that the reader knows, as a path with "[]" for list elements, sorted.
std::vector<std::string> host_settings_fields();

/// The secret in a secret file's content: the content without line ends at its end.
/// Fails if it has less than 16 bytes. Host and operators use the same rule, or digests would differ.
result<std::string> secret_from_file_content(std::string_view content);

} // namespace ragworthinge
