#include "steering/steering_configuration.h"

#include <algorithm>
#include <iterator>

namespace ragworthinge {

std::optional<std::vector<region_id>> allowed_regions(const steering_route& route,
                                                      const std::vector<region_id>* account_regions) {
    const bool account_binds = account_regions != nullptr && !account_regions->empty();
    if (route.allowed_regions.empty() && !account_binds)
        return std::nullopt;
    std::vector<region_id> regions = route.allowed_regions.empty() ? *account_regions : route.allowed_regions;
    if (account_binds) {
        std::erase_if(regions, [&](const region_id& region) {
            return std::find(account_regions->begin(), account_regions->end(), region) == account_regions->end();
        });
    }
    std::sort(regions.begin(), regions.end());
    return regions;
}

} // namespace ragworthinge
