#pragma once

#include "base/identifiers.h"
#include "base/time.h"

#include <unordered_map>
#include <vector>

namespace ragworthinge {

/// Options of `retry_budget`.
struct retry_budget_options {
    double fraction = 0.1;           ///< Retries earned per request.
    double minimum_per_second = 1.0; ///< Retries per second that a client account may always make.
    double burst = 10.0;             ///< Maximum number of retries accumulated from requests.
};

/// Limits the retries that a host makes for each client account, so that retries cannot amplify an overload.
/// The limit is the larger of a fraction of the account's requests and a minimum rate.
class retry_budget {
public:
    explicit retry_budget(retry_budget_options options = {}) : m_options(options) {}

    /// Records the first attempt of a request of the account.
    void record_request(const account_id& account);

    /// Takes one retry from the account's budget. Returns false if none is left.
    bool try_spend(const account_id& account, time_point now);

    /// Drops the budgets of all accounts that are not listed.
    void retain(const std::vector<account_id>& accounts);

private:
    struct balance {
        double from_requests = 0;
        double from_minimum = 1;
        time_point refilled_at;
    };

    retry_budget_options m_options;
    std::unordered_map<account_id, balance> m_balances;
};

} // namespace ragworthinge
