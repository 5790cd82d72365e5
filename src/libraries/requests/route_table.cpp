#include "requests/route_table.h"

#include "requests/request_target.h"

#include <algorithm>

namespace ragworthinge {

result<route_table> route_table::create(const std::vector<route_configuration>& routes) {
    route_table table;
    for (const route_configuration& configured : routes) {
        const auto prefix = request_target::parse(configured.path_prefix);
        if (!prefix || !prefix.value().query().empty() || configured.path_prefix.back() == '?')
            return failure(error_code::invalid_argument,
                           "route prefix \"" + configured.path_prefix + "\" is not a valid, unambiguous path");

        route entry{prefix.value().path(), configured.service, configured.open, configured.accounts,
                    configured.idempotent_methods};
        std::sort(entry.accounts.begin(), entry.accounts.end());
        table.m_longest_prefix = std::max(table.m_longest_prefix, entry.path_prefix.size());
        const std::string key = entry.path_prefix;
        if (!table.m_routes.emplace(key, std::move(entry)).second)
            return failure(error_code::invalid_argument, "route prefix \"" + key + "\" occurs twice");
    }
    return table;
}

const route* route_table::find(std::string_view path) const {
    if (path.size() <= m_longest_prefix) {
        if (const route* found = find_exactly(path))
            return found;
    }
    // Candidate prefixes end before or after a slash. Candidates longer than the longest configured prefix are skipped,
    // because hashing every prefix of a long path would take time quadratic in its length.
    std::size_t slash = path.rfind('/', m_longest_prefix);
    while (slash != std::string_view::npos) {
        if (const route* found = find_exactly(path.substr(0, slash + 1)))
            return found;
        if (slash == 0)
            return nullptr;
        if (const route* found = find_exactly(path.substr(0, slash)))
            return found;
        slash = path.rfind('/', slash - 1);
    }
    return nullptr;
}

const route* route_table::find_exactly(std::string_view prefix) const {
    const auto found = m_routes.find(prefix);
    return found == m_routes.end() ? nullptr : &found->second;
}

} // namespace ragworthinge
