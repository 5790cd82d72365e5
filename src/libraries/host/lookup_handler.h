#pragma once

#include "base/identifiers.h"
#include "net/http_connection.h"
#include "net/http_exchange.h"

#include <chrono>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace ragworthinge {

/// Path of look-ups on the caller listener.
inline constexpr std::string_view lookup_path = "/.well-known/ragworthinge/hosts";

/// A host that a caller may use.
struct lookup_host {
    host_id host;
    region_id region;
    network_endpoint caller; ///< Where it listens for callers.
};

/// Answer to a look-up, best host first.
struct lookup_result {
    std::vector<lookup_host> hosts;
    std::chrono::seconds ttl{5};
};

/// Collaborators of a lookup_handler.
struct lookup_handler_options {
    /// Plans the answer for a service and a client's IP number; both may be empty.
    std::function<lookup_result(const service_id& service, const std::string& client)> plan;
};

/// Tells callers which entry hosts to use.
class lookup_handler {
public:
    explicit lookup_handler(lookup_handler_options options) : m_options(std::move(options)) {}

    /// True if the target is a look-up.
    static bool matches(std::string_view target) noexcept;

    void handle(http_exchange& exchange) const;

private:
    lookup_handler_options m_options;
};

} // namespace ragworthinge
