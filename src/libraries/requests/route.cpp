#include "requests/route.h"

#include <algorithm>
#include <array>

namespace ragworthinge {

bool route::allows(const account_id& account) const {
    return accounts.empty() || std::binary_search(accounts.begin(), accounts.end(), account);
}

bool route::is_idempotent(std::string_view method) const {
    constexpr std::array<std::string_view, 5> default_methods{"GET", "HEAD", "OPTIONS", "PUT", "DELETE"};
    if (idempotent_methods.empty())
        return std::find(default_methods.begin(), default_methods.end(), method) != default_methods.end();
    return std::find(idempotent_methods.begin(), idempotent_methods.end(), method) != idempotent_methods.end();
}

} // namespace ragworthinge
