#pragma once

#include "base/identifiers.h"
#include "base/time.h"
#include "host/share_service.h"

#include <map>

namespace ragworthinge {

/// Spends the bandwidth of the links from this host's region to others. The budget's unit is a kilobit.
class link_shares {
public:
    link_shares(share_service& shares, region_id own_region) : m_shares(shares), m_own_region(std::move(own_region)) {}

    /// Budget of one direction of a link.
    static budget_id budget_of(const region_id& from, const region_id& to) {
        return {.kind = budget_kind::link_bandwidth, .name = from + ">" + to};
    }

    /// Takes bandwidth for one request, both ways; false, with no effect, if the link has none left.
    bool try_spend(const region_id& to, double megabits, time_point now);

private:
    budget_index index_of(const region_id& from, const region_id& to);

    share_service& m_shares;
    region_id m_own_region;
    std::map<std::pair<region_id, region_id>, budget_index> m_budgets;
};

} // namespace ragworthinge
