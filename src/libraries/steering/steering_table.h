#pragma once

#include "base/digest.h"
#include "steering/steering_configuration.h"

#include <map>
#include <string_view>
#include <unordered_map>

namespace ragworthinge {

/// Index of the routes, accounts and services of one configuration.
class steering_table {
public:
    explicit steering_table(steering_configuration configuration);

    const steering_configuration& configuration() const noexcept { return m_configuration; }

    /// Returns the route for the host name with the longest matching path prefix; null if there is none.
    const steering_route* find_route(std::string_view host_name, std::string_view path) const;

    /// Returns the account that the key belongs to; null if there is none.
    const steering_account* find_account_by_key(std::string_view key) const;

    const steering_account* find_account(std::string_view name) const;
    const steering_service* find_service(std::string_view name) const;

private:
    struct digest_hash {
        std::size_t operator()(const digest& value) const noexcept;
    };

    steering_configuration m_configuration;
    std::map<std::string, std::vector<const steering_route*>, std::less<>>
        m_routes; ///< Sorted by prefix length, longest first.
    std::unordered_map<digest, const steering_account*, digest_hash> m_keys;
    std::map<std::string, const steering_account*, std::less<>> m_accounts;
    std::map<std::string, const steering_service*, std::less<>> m_services;
};

} // namespace ragworthinge
