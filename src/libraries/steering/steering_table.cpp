#include "steering/steering_table.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace ragworthinge {

std::size_t steering_table::digest_hash::operator()(const digest& value) const noexcept {
    std::size_t hash = 0;
    std::memcpy(&hash, value.data(), sizeof hash);
    return hash;
}

steering_table::steering_table(steering_configuration configuration) : m_configuration(std::move(configuration)) {
    for (const steering_route& route : m_configuration.routes)
        m_routes[route.host_name].push_back(&route);
    for (auto& [host_name, routes] : m_routes) {
        std::stable_sort(routes.begin(), routes.end(), [](const steering_route* left, const steering_route* right) {
            return left->path_prefix.size() > right->path_prefix.size();
        });
    }
    for (const steering_account& account : m_configuration.accounts) {
        m_accounts.emplace(account.name, &account);
        // Looking up keys by their digest makes the duration independent of how much of a guessed key is correct.
        for (const std::string& key : account.keys)
            m_keys.emplace(sha256(key), &account);
    }
    for (const steering_service& service : m_configuration.services)
        m_services.emplace(service.name, &service);
}

const steering_route* steering_table::find_route(std::string_view host_name, std::string_view path) const {
    const auto found = m_routes.find(host_name);
    if (found == m_routes.end())
        return nullptr;
    for (const steering_route* route : found->second) {
        if (path.substr(0, route->path_prefix.size()) == route->path_prefix)
            return route;
    }
    return nullptr;
}

const steering_account* steering_table::find_account_by_key(std::string_view key) const {
    const auto found = m_keys.find(sha256(key));
    return found == m_keys.end() ? nullptr : found->second;
}

const steering_account* steering_table::find_account(std::string_view name) const {
    const auto found = m_accounts.find(name);
    return found == m_accounts.end() ? nullptr : found->second;
}

const steering_service* steering_table::find_service(std::string_view name) const {
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : found->second;
}

} // namespace ragworthinge
