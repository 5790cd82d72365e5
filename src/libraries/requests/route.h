#pragma once

#include "base/identifiers.h"

#include <string>
#include <string_view>
#include <vector>

namespace ragworthinge {

/// Maps a path prefix to a service and lists the client accounts that may use it.
struct route {
    std::string path_prefix;
    service_id service;
    bool open = false;                           ///< Requests need no key.
    std::vector<account_id> accounts;            ///< Sorted; empty allows all client accounts.
    std::vector<std::string> idempotent_methods; ///< Empty selects the idempotent methods of HTTP.

    /// Returns whether requests of the client account may use the route.
    bool allows(const account_id& account) const;

    /// Returns whether a request with the method may be sent more than once.
    bool is_idempotent(std::string_view method) const;
};

} // namespace ragworthinge
