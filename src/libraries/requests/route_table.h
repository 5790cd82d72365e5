#pragma once

#include "base/result.h"
#include "configuration/fleet_configuration.h"
#include "requests/route.h"

#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ragworthinge {

/// Immutable snapshot of the routes with a lookup by longest path prefix.
class route_table {
public:
    /// Fails with invalid_argument if a prefix is ambiguous as a path or occurs twice.
    static result<route_table> create(const std::vector<route_configuration>& routes);

    /// Returns the route with the longest prefix that ends at a segment boundary of the path, or null. `/a` covers `/a`
    /// and `/a/b` but not `/ab`, so that one client account's prefix never matches a longer name that belongs to
    /// another. `path` is the decoded path of a `request_target`.
    const route* find(std::string_view path) const;

private:
    struct text_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const noexcept { return std::hash<std::string_view>{}(text); }
    };

    route_table() = default;
    const route* find_exactly(std::string_view prefix) const;

    std::unordered_map<std::string, route, text_hash, std::equal_to<>> m_routes;
    std::size_t m_longest_prefix = 0;
};

} // namespace ragworthinge
