#include "escrow/ceiling_exchange.h"

#include <algorithm>
#include <cmath>

namespace ragworthinge {

namespace {

bool differs(units left, units right, double relative, double smallest) {
    const double larger = std::max(std::abs(static_cast<double>(left)), std::abs(static_cast<double>(right)));
    return std::abs(static_cast<double>(left - right)) > std::max(relative * larger, smallest);
}

/// What demand for the budget is measured against.
units size_of(const page_budget& item) {
    return is_returned_after_use(item.budget.kind) ? item.limit.burst : item.limit.rate;
}

/// Whether a difference is worth a write: a fraction of the limit, or a whole unit for slots.
bool is_worth_moving(const page_budget& item, const amount& difference, double smallest_part) {
    if (is_returned_after_use(item.budget.kind))
        return difference.burst >= one_unit;
    const auto part = [&](units value, units limit) {
        return value > 0 && static_cast<double>(value) >= smallest_part * static_cast<double>(limit);
    };
    return part(difference.rate, item.limit.rate) || part(difference.burst, item.limit.burst);
}

} // namespace

void ceiling_exchange::page_read(const ceiling_page& page) {
    const std::size_t position = region_position(page, m_options.writer.region);
    if (position == page.regions.size())
        return;
    m_position = position;
    const page_region& region = page.regions[position];
    m_superseded = m_superseded || region.epoch > m_options.writer.epoch;
    m_page = page;
    if (region.epoch != m_options.writer.epoch || region.change != m_change || m_change == 0)
        return;
    take_ceilings(page);
    m_adopted = true;
}

void ceiling_exchange::take_ceilings(const ceiling_page& page) {
    for (const page_budget& item : page.budgets) {
        const region_part& part = item.parts[m_position];
        progress& state = m_progress[item.budget];
        // Tokens taken along by an earlier allocator were its own to pass on.
        const units carried = m_adopted ? part.carried - state.carried : 0;
        m_ledger.set_ceiling(item.budget, part.ceiling, item.minimum, carried);
        state = {.pending_release = 0, .carried = part.carried};
    }
}

std::optional<ceiling_page> ceiling_exchange::next_write(time_point now) {
    if (!m_page || m_superseded || m_writing || (m_next_write_at && now < *m_next_write_at))
        return std::nullopt;
    m_next = *m_page;
    if (!m_adopted) {
        keep(with_adopted_region(*m_next, m_options.writer));
    } else {
        for (const page_budget& item : m_page->budgets)
            propose_budget(item, now);
        if (*m_next == *m_page)
            return std::nullopt;
    }
    m_next->regions[m_position].change = ++m_change;
    m_writing = true;
    m_next_write_at = now + m_options.write_interval;
    return m_next;
}

void ceiling_exchange::write_ended(bool succeeded) {
    m_writing = false;
    // After a conflict the others have just written and pause now, so a retry at once succeeds.
    if (!succeeded)
        m_next_write_at.reset();
}

void ceiling_exchange::propose_budget(const page_budget& item, time_point now) {
    const region_part& part = item.parts[m_position];
    const amount goal = ceiling_goals(item, m_policy)[m_position];
    m_ledger.set_goal(item.budget, goal);
    propose_lowering(item, goal, now);

    const amount wanted = lower_of(higher_of(goal - part.ceiling, {}), item.remainder);
    if (is_worth_moving(item, wanted, m_options.smallest_move))
        keep(with_raised_ceiling(*m_next, m_options.writer, item.budget, goal));

    const units demand = m_ledger.demand(item.budget, now);
    const double smallest = m_options.smallest_demand * static_cast<double>(size_of(item));
    if (differs(demand, part.demand, m_options.demand_change, smallest))
        keep(with_demand(*m_next, m_options.writer, item.budget, demand));
}

void ceiling_exchange::propose_lowering(const page_budget& item, const amount& goal, time_point now) {
    const amount lowest = higher_of(goal, m_ledger.granted(item.budget));
    const amount free = higher_of(m_ledger.ceiling(item.budget) - lowest, {});
    progress& state = m_progress[item.budget];
    if (is_worth_moving(item, free, m_options.smallest_move))
        state.pending_release += m_ledger.lower_ceiling(item.budget, goal, now);
    const amount ceiling = m_ledger.ceiling(item.budget);
    if (!fits(item.parts[m_position].ceiling, ceiling))
        keep(with_lowered_ceiling(*m_next, m_options.writer, item.budget, ceiling, state.pending_release));
}

void ceiling_exchange::keep(result<ceiling_page> changed) {
    if (changed)
        m_next = std::move(changed).value();
}

} // namespace ragworthinge
