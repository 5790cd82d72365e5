#pragma once

#include "base/identifiers.h"
#include "base/result.h"
#include "escrow/allocation_policy.h"
#include "escrow/escrow_messages.h"

#include <cstdint>
#include <vector>

namespace ragworthinge {

/// A region's part of one budget.
struct region_part {
    amount ceiling{};
    units demand = 0;
    units carried = 0; ///< Sum of all released tokens that this region took along with increases.

    friend bool operator==(const region_part&, const region_part&) = default;
};

/// One budget of the fleet and its division among the regions.
struct page_budget {
    budget_id budget{};
    amount limit{};                   ///< What operators configured.
    amount remainder{};               ///< Assigned to no region.
    units released = 0;               ///< Tokens that came with the remainder; at most its burst.
    amount minimum{};                 ///< Largest minimum share of one holder at any time; never falls.
    std::vector<region_part> parts{}; ///< In the order of the page's regions.

    friend bool operator==(const page_budget&, const page_budget&) = default;
};

/// A region as a writer of the page.
struct page_region {
    region_id region{};
    allocator_epoch epoch = 0; ///< Only the allocator with this epoch may change the region's parts.
    std::uint64_t change =
        0; ///< Number that the allocator gave to its last change, to recognise it after a lost reply.

    friend bool operator==(const page_region&, const page_region&) = default;
};

/// The value of a store key `ceilings/<page>`. It changes only by compare-and-swap. For each budget the ceilings and
/// the remainder add up to at most the limit, or fall towards it after the limit was reduced.
struct ceiling_page {
    std::vector<page_region> regions{};
    std::vector<page_budget> budgets{};

    friend bool operator==(const ceiling_page&, const ceiling_page&) = default;
};

/// The allocator that wants to change a page.
struct page_writer {
    region_id region{};
    allocator_epoch epoch = 0;
};

/// Sets the limit of a budget and creates it if needed. A reduction takes the remainder first; what regions still have
/// above the limit vanishes when they lower their ceilings.
ceiling_page with_limit(ceiling_page page, const budget_id& budget, const amount& limit, const amount& minimum);

/// Makes the writer the only allocator that may change its region. Must be stored before the new allocator relies on
/// its ceilings, because its predecessor could lower them until then. Errors: not_found for an unknown region, conflict
/// if a newer allocator adopted it.
result<ceiling_page> with_adopted_region(ceiling_page page, const page_writer& writer);

/// Publishes the demand of a region for one budget. Errors: not_found, conflict as above.
result<ceiling_page> with_demand(ceiling_page page, const page_writer& writer, const budget_id& budget, units demand);

/// Lowers the writer's ceiling to `to` and adds the difference to the remainder. The writer must have lowered its
/// ledger before. Errors: not_found, conflict as above.
result<ceiling_page> with_lowered_ceiling(ceiling_page page, const page_writer& writer, const budget_id& budget,
                                          const amount& to, units released);

/// Raises the writer's ceiling towards `to` as far as the remainder allows. The writer may raise its ledger only after
/// the store confirmed the page. Errors: not_found, conflict as above.
result<ceiling_page> with_raised_ceiling(ceiling_page page, const page_writer& writer, const budget_id& budget,
                                         const amount& to);

/// Ceilings that the regions should move to, in the order of the page's regions.
std::vector<amount> ceiling_goals(const page_budget& budget, const allocation_policy& policy);

/// Position of a region; the number of regions if it is not on the page.
std::size_t region_position(const ceiling_page& page, const region_id& region);

/// What regions and remainder hold together.
amount assigned_sum(const page_budget& budget);

} // namespace ragworthinge
