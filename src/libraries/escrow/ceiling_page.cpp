#include "escrow/ceiling_page.h"

#include <algorithm>

namespace ragworthinge {

namespace {

page_budget* find_budget(ceiling_page& page, const budget_id& budget) {
    const auto found = std::ranges::find(page.budgets, budget, &page_budget::budget);
    return found == page.budgets.end() ? nullptr : &*found;
}

/// The writer's part of a budget, if the writer is still the allocator of its region.
result<region_part*> writable_part(const ceiling_page& page, page_budget* item, const page_writer& writer) {
    const std::size_t position = region_position(page, writer.region);
    if (item == nullptr || position == page.regions.size())
        return failure(error_code::not_found, "ceiling page: no such region or budget");
    if (page.regions[position].epoch != writer.epoch)
        return failure(error_code::conflict, "ceiling page: region " + writer.region + " has another allocator");
    return &item->parts[position];
}

/// Releases what exceeds the limit, from the remainder.
void trim_to_limit(page_budget& item) {
    const amount excess = higher_of(assigned_sum(item) - item.limit, {});
    item.remainder -= lower_of(excess, item.remainder);
    item.released = std::min(item.released, item.remainder.burst);
}

} // namespace

std::size_t region_position(const ceiling_page& page, const region_id& region) {
    const auto found = std::ranges::find(page.regions, region, &page_region::region);
    return static_cast<std::size_t>(found - page.regions.begin());
}

amount assigned_sum(const page_budget& budget) {
    amount result = budget.remainder;
    for (const region_part& part : budget.parts)
        result += part.ceiling;
    return result;
}

ceiling_page with_limit(ceiling_page page, const budget_id& budget, const amount& limit, const amount& minimum) {
    if (find_budget(page, budget) == nullptr) {
        page.budgets.emplace_back();
        page.budgets.back().budget = budget;
        page.budgets.back().parts.resize(page.regions.size());
    }
    page_budget& item = *find_budget(page, budget);
    item.limit = limit;
    item.minimum = higher_of(item.minimum, minimum);
    item.remainder += higher_of(limit - assigned_sum(item), {});
    trim_to_limit(item);
    return page;
}

result<ceiling_page> with_adopted_region(ceiling_page page, const page_writer& writer) {
    const std::size_t position = region_position(page, writer.region);
    if (position == page.regions.size())
        return failure(error_code::not_found, "ceiling page: no region " + writer.region);
    if (page.regions[position].epoch > writer.epoch)
        return failure(error_code::conflict, "ceiling page: region " + writer.region + " has a newer allocator");
    page.regions[position].epoch = writer.epoch;
    return page;
}

result<ceiling_page> with_demand(ceiling_page page, const page_writer& writer, const budget_id& budget, units demand) {
    BOOST_OUTCOME_TRY(region_part* const part, writable_part(page, find_budget(page, budget), writer));
    part->demand = demand;
    return page;
}

result<ceiling_page> with_lowered_ceiling(ceiling_page page, const page_writer& writer, const budget_id& budget,
                                          const amount& to, units released) {
    page_budget* const item = find_budget(page, budget);
    BOOST_OUTCOME_TRY(region_part* const part, writable_part(page, item, writer));
    const amount lowered = lower_of(part->ceiling, to);
    const amount difference = part->ceiling - lowered;
    part->ceiling = lowered;
    item->remainder += difference;
    item->released += std::clamp<units>(released, 0, difference.burst);
    trim_to_limit(*item);
    return page;
}

result<ceiling_page> with_raised_ceiling(ceiling_page page, const page_writer& writer, const budget_id& budget,
                                         const amount& to) {
    page_budget* const item = find_budget(page, budget);
    BOOST_OUTCOME_TRY(region_part* const part, writable_part(page, item, writer));
    const amount raise = lower_of(higher_of(to - part->ceiling, {}), item->remainder);
    const units carried = std::min(item->released, raise.burst);
    part->ceiling += raise;
    part->carried += carried;
    item->remainder -= raise;
    item->released = std::min(item->released - carried, item->remainder.burst);
    return page;
}

std::vector<amount> ceiling_goals(const page_budget& budget, const allocation_policy& policy) {
    std::vector<allocation_claim> claims;
    for (const region_part& part : budget.parts)
        claims.push_back({.demand = part.demand, .weight = 1, .minimum = {}, .current = part.ceiling});
    return policy.targets(budget.budget.kind, budget.limit, claims);
}

} // namespace ragworthinge
