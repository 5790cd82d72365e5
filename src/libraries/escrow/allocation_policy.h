#pragma once

#include "escrow/amount.h"
#include "escrow/budget_id.h"

#include <cstddef>
#include <vector>

namespace ragworthinge {

/// One party that shares a budget: a holder within a region, or a region within the fleet.
struct allocation_claim {
    units demand = 0;  ///< Units per second, or slots.
    double weight = 1; ///< Relative claim when the budget does not cover all demand.
    amount minimum{};  ///< Given in any case.
    amount current{};  ///< Present target.
};

/// Settings of an allocation_policy.
struct allocation_policy_options {
    /// Burst that each party keeps if at most half of the budget is needed for it. With less than a whole unit a party
    /// could never serve a single request.
    units smallest_burst = one_unit;
    double reserve = 0.02;    ///< Part of an equal share that a party without demand keeps for its first requests.
    double hysteresis = 0.05; ///< Relative change below which a target stays as it is.
    /// Smallest part of a budget that is not divided in advance but kept for holders whose requests wait. With this and
    /// `pool_burst` at zero everything is divided in advance.
    double pool_part = 0.5;
    /// Burst per party that is kept for waiting requests. Budgets smaller than that are not divided in advance at all:
    /// a host that gets a request every few seconds would hold tokens that others miss.
    units pool_burst = 16 * one_unit;
    double idle_part = 0.005; ///< Part of the budget that may stay unassigned for the sake of hysteresis.
};

/// Divides a budget by weighted max-min fairness over demand.
class allocation_policy {
public:
    explicit allocation_policy(allocation_policy_options options = {}) : m_options(options) {}

    /// Targets in the order of the claims; their sum is at most `total`. What demand leaves over is divided in
    /// proportion to the allocation. Slots are given in whole units and only to parties with demand; without any demand
    /// they stay where they are.
    [[nodiscard]] std::vector<amount> targets(budget_kind kind, const amount& total,
                                              const std::vector<allocation_claim>& claims) const;

    /// The part of `total` that the allocator does not assign in advance.
    [[nodiscard]] amount pool(budget_kind kind, const amount& total, std::size_t parties) const;

private:
    [[nodiscard]] std::vector<amount> fair_targets(const amount& total,
                                                   const std::vector<allocation_claim>& claims) const;
    [[nodiscard]] std::vector<amount> steady_targets(const amount& total, const std::vector<allocation_claim>& claims,
                                                     std::vector<amount> fair) const;
    [[nodiscard]] bool is_near(const allocation_claim& claim, const amount& target) const;

    allocation_policy_options m_options;
};

} // namespace ragworthinge
