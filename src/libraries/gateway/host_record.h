#pragma once

#include "base/result.h"
#include "steering/fleet_change.h"

#include <optional>
#include <string>
#include <string_view>

namespace ragworthinge {

/// Prefix of all store keys that the product itself writes.
inline constexpr std::string_view product_key_prefix = "ragworthinge/";

/// Store key of an entry host's registration.
std::string host_record_key(const host_id& host);

/// Name of the host whose registration is stored under the key; absent for other keys.
std::optional<host_id> host_of_record_key(std::string_view key);

std::string write_host_record(const entry_host& host);

/// Error: protocol_violation.
result<entry_host> read_host_record(std::string_view text);

} // namespace ragworthinge
