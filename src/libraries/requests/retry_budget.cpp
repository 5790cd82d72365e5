#include "requests/retry_budget.h"

#include <algorithm>
#include <chrono>

namespace ragworthinge {

void retry_budget::record_request(const account_id& account) {
    balance& account_balance = m_balances[account];
    account_balance.from_requests = std::min(m_options.burst, account_balance.from_requests + m_options.fraction);
}

bool retry_budget::try_spend(const account_id& account, time_point now) {
    balance& account_balance = m_balances[account];
    const std::chrono::duration<double> elapsed = now - account_balance.refilled_at;
    account_balance.from_minimum =
        std::min(1.0, account_balance.from_minimum + std::max(0.0, elapsed.count()) * m_options.minimum_per_second);
    account_balance.refilled_at = std::max(account_balance.refilled_at, now);

    // The tolerance absorbs rounding: the sum of ten times 0.1 is less than 1.
    constexpr double one_retry = 1.0 - 1e-9;
    if (account_balance.from_requests < one_retry && account_balance.from_minimum < one_retry)
        return false;
    // A retry is charged to both balances, so that the limit is their maximum and not their sum.
    account_balance.from_requests = std::max(0.0, account_balance.from_requests - 1);
    account_balance.from_minimum = std::max(0.0, account_balance.from_minimum - 1);
    return true;
}

void retry_budget::retain(const std::vector<account_id>& accounts) {
    std::erase_if(m_balances, [&](const auto& entry) {
        return std::find(accounts.begin(), accounts.end(), entry.first) == accounts.end();
    });
}

} // namespace ragworthinge
