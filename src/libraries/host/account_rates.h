#pragma once

#include "base/identifiers.h"
#include "base/time.h"
#include "host/share_service.h"

#include <unordered_map>
#include <vector>

namespace ragworthinge {

/// Charges dispatched requests to the shares that this host holds of the client accounts' rates.
class account_rates {
public:
    explicit account_rates(share_service& shares) : m_shares(shares) {}

    /// Takes one request out of the account's share. Requests without an account, on open routes, are not limited.
    bool try_charge(const account_id& account, time_point now);

    /// Counts a request of the account as demand, so that the allocator moves shares to where callers are.
    void note_demand(const account_id& account);

    /// Requests that the account may start on this host now.
    double available(const account_id& account, time_point now) const;

    /// Replaces the set of accounts.
    void configure(const std::vector<account_id>& accounts);

private:
    share_service& m_shares;
    std::unordered_map<account_id, budget_index> m_budgets;
};

} // namespace ragworthinge
