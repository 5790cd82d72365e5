#include "host/account_rates.h"

namespace ragworthinge {

bool account_rates::try_charge(const account_id& account, time_point now) {
    if (account.empty())
        return true;
    const auto found = m_budgets.find(account);
    return found != m_budgets.end() && m_shares.spend(found->second, one_unit, now);
}

void account_rates::note_demand(const account_id& account) {
    if (const auto found = m_budgets.find(account); found != m_budgets.end())
        m_shares.note_demand(found->second, one_unit);
}

double account_rates::available(const account_id& account, time_point now) const {
    const auto found = m_budgets.find(account);
    if (found == m_budgets.end())
        return 0;
    return static_cast<double>(m_shares.available(found->second, now)) / one_unit;
}

void account_rates::configure(const std::vector<account_id>& accounts) {
    m_budgets.clear();
    for (const account_id& account : accounts)
        m_budgets.emplace(account, m_shares.index_of({.kind = budget_kind::account_rate, .name = account}));
}

} // namespace ragworthinge
