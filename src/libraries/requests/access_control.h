#pragma once

#include "base/time.h"
#include "requests/key_freshness.h"
#include "requests/key_table.h"
#include "requests/refusal.h"
#include "requests/route_table.h"

#include <optional>
#include <string_view>

namespace ragworthinge {

/// Route of an admitted request and owner of its key.
struct access_grant {
    const route* matched = nullptr;   ///< Valid as long as the route table.
    const key_owner* owner = nullptr; ///< Null on open routes without a usable key; valid as long as the key table.
};

/// Decides whether a request may use the route that matches its path. On an open route a key that is wrong or cannot be
/// checked is ignored. Refuses with route_unknown, key_missing, keys_stale, key_wrong or route_forbidden.
admitted<access_grant> decide_access(const route_table& routes, const key_table& keys, freshness key_state,
                                     std::string_view path, const std::optional<secret_text>& key);

} // namespace ragworthinge
