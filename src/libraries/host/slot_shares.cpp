#include "host/slot_shares.h"

#include <algorithm>

namespace ragworthinge {

slot_shares::entry& slot_shares::find(const upstream_id& upstream) {
    start_generation_if_new();
    const auto [position, is_new] = m_entries.try_emplace(upstream);
    if (is_new)
        position->second.budget = m_shares.index_of({.kind = budget_kind::upstream_slots, .name = upstream});
    return position->second;
}

// After a rejoin the present share knows nothing of the slots that earlier requests still occupy. The allocator keeps
// those reserved until the longest request has ended, so they must not be refunded to the new share.
void slot_shares::start_generation_if_new() {
    if (m_generation == m_shares.generation())
        return;
    m_generation = m_shares.generation();
    for (auto& [upstream, item] : m_entries) {
        item.unlicensed += item.in_use;
        item.in_use = 0;
    }
}

std::uint32_t slot_shares::usable(const upstream_id& upstream, time_point now) {
    const entry& item = find(upstream);
    const units free = std::max<units>(0, m_shares.available(item.budget, now));
    return item.unlicensed + item.in_use + static_cast<std::uint32_t>(free / one_unit);
}

void slot_shares::set_in_use(const upstream_id& upstream, std::uint32_t count, time_point now) {
    entry& item = find(upstream);
    item.unlicensed = std::min(item.unlicensed, count);
    const std::uint32_t licensed = count - item.unlicensed;
    while (item.in_use < licensed && m_shares.spend(item.budget, one_unit, now))
        ++item.in_use;
    if (item.in_use > licensed) {
        m_shares.refund(item.budget, static_cast<units>(item.in_use - licensed) * one_unit);
        item.in_use = licensed;
    }
}

void slot_shares::set_wanted(const upstream_id& upstream, std::uint32_t count) {
    const entry& item = find(upstream);
    const std::uint32_t more = count > item.in_use ? count - item.in_use : 0;
    m_shares.set_waiting(item.budget, static_cast<units>(more) * one_unit);
}

} // namespace ragworthinge
