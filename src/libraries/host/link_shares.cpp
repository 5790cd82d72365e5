#include "host/link_shares.h"

namespace ragworthinge {

namespace {

constexpr double kilobits_per_megabit = 1000;

} // namespace

budget_index link_shares::index_of(const region_id& from, const region_id& to) {
    const auto [position, is_new] = m_budgets.try_emplace({from, to});
    if (is_new)
        position->second = m_shares.index_of(budget_of(from, to));
    return position->second;
}

bool link_shares::try_spend(const region_id& to, double megabits, time_point now) {
    const auto count = static_cast<units>(megabits * kilobits_per_megabit * one_unit);
    const budget_index there = index_of(m_own_region, to);
    m_shares.note_demand(there, count);
    return m_shares.spend(there, count, now);
}

} // namespace ragworthinge
