#pragma once

#include "base/identifiers.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ragworthinge {

/// Weight of a host for a key. The same on every host, build and platform, because all hosts must rank alike.
std::uint64_t rendezvous_score(std::string_view key, std::string_view host) noexcept;

/// Orders hosts by descending score for the key. Adding or removing a host leaves the order of the others unchanged.
std::vector<host_id> rank_hosts(std::string_view key, std::vector<host_id> hosts);

/// The host with the highest score for the key, or nothing when there are no hosts.
std::optional<host_id> highest_ranked_host(std::string_view key, std::span<const host_id> hosts);

/// Key under which the dispatcher of a service in a region is ranked.
std::string dispatcher_key(const service_id& service, const region_id& region);

} // namespace ragworthinge
