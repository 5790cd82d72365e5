#include "escrow/ledger.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace ragworthinge {

namespace {

__extension__ using wide_integer = __int128;

/// Margin over the lease duration for clocks that run at different speeds, and for the time between taking the clock
/// and sending a poll.
constexpr auto fence_margin = std::chrono::milliseconds{200};

/// How long a share keeps the burst that was added for waiting requests: long enough to arrive and be spent.
constexpr auto loan_time = std::chrono::milliseconds{100};

/// Tokens for the arrivals of this time go along with a loan.
constexpr auto prefetch_time = std::chrono::milliseconds{250};

duration reclaim_wait(duration lease) {
    return lease + lease / 10 + fence_margin;
}

units scaled(units value, units part, units whole) {
    if (whole <= 0 || part >= whole)
        return value;
    return static_cast<units>(static_cast<wide_integer>(value) * std::max<units>(0, part) / whole);
}

} // namespace

ledger::ledger(const ledger_options& options, const std::vector<ledger_member>& members, time_point now)
    : m_options(options), m_policy(m_options.policy) {
    for (const ledger_member& entry : members) {
        add_member(entry.holder, entry.weight);
        find_member(entry.holder)->state = member_state::unknown;
        // The time of an earlier fence is not known, so the full wait starts again.
        if (entry.fenced)
            fence_confirmed(entry.holder, now);
    }
}

void ledger::set_ceiling(const budget_id& budget, const amount& ceiling, const amount& minimum, units carried) {
    account& item = account_of(budget);
    if (item.ceiling != ceiling || item.minimum != minimum)
        item.is_dirty = true;
    item.has_ceiling = true;
    item.ceiling = ceiling;
    item.minimum = minimum;
    item.returned += carried;
}

void ledger::set_goal(const budget_id& budget, const amount& goal) {
    account& item = account_of(budget);
    if (item.goal != goal)
        item.is_dirty = true;
    item.goal = goal;
}

units ledger::lower_ceiling(const budget_id& budget, const amount& to, time_point now) {
    account& item = account_of(budget);
    const bool slots = is_returned_after_use(budget.kind);
    amount bound = to;
    if (m_options.rules.lower_ceiling_when_free) {
        if (has_unknown_part(slots))
            return 0;
        bound = higher_of(to, granted_sum(item));
    }
    const amount lowered = lower_of(item.ceiling, bound);
    adapt_pool(item, now);
    const units released = slots ? 0 : std::min(item.pool.available(now), item.ceiling.burst - lowered.burst);
    [[maybe_unused]] const bool taken = item.pool.spend(released, now);
    item.ceiling = lowered;
    adapt_pool(item, now);
    item.is_dirty = true;
    return released;
}

void ledger::add_member(const holder_id& holder, double weight) {
    if (find_member(holder) != nullptr)
        return;
    member entry;
    entry.holder = holder;
    entry.weight = weight;
    entry.state = member_state::joined;
    const auto reusable = std::ranges::find(m_members, member_state::gone, &member::state);
    const auto index = static_cast<std::size_t>(reusable - m_members.begin());
    if (reusable == m_members.end()) {
        m_members.push_back(std::move(entry));
    } else {
        m_member_indexes.erase(reusable->holder);
        *reusable = std::move(entry);
    }
    m_member_indexes.emplace(holder, index);
    for (account& item : m_accounts)
        item.is_dirty = true;
}

void ledger::fence_confirmed(const holder_id& holder, time_point at) {
    member* entry = find_member(holder);
    if (entry == nullptr || entry->state == member_state::fenced || entry->state == member_state::reclaimed ||
        entry->state == member_state::gone)
        return;
    // A joined member may have received an assignment only after its first report, which makes it active.
    entry->holdings_known = entry->state != member_state::unknown;
    entry->state = member_state::fenced;
    entry->reclaim_at = m_options.rules.wait_after_fence ? at + reclaim_wait(m_options.lease) : at;
    entry->reclaim_slots_at = entry->reclaim_at;
    if (m_options.rules.wait_for_slots)
        entry->reclaim_slots_at += m_options.longest_request;
    for (account& item : m_accounts)
        item.is_dirty = true;
}

void ledger::forget(const holder_id& holder) {
    const auto found = m_member_indexes.find(holder);
    if (found == m_member_indexes.end())
        return;
    release_all(found->second);
}

bool ledger::receive(const share_report& report, time_point now) {
    const auto found = m_member_indexes.find(report.holder);
    if (found == m_member_indexes.end())
        return false;
    const std::size_t index = found->second;
    member& entry = m_members[index];
    // A holder that left applies nothing from any allocator, so the epoch of this report does not matter.
    if (report.leaving) {
        release_all(index);
        return true;
    }
    if (report.epoch != m_options.epoch || report.applied_version > entry.version)
        return false;
    if (entry.state == member_state::unknown || entry.state == member_state::joined) {
        if (!report.complete)
            return false;
        learn_holdings(index, report);
    }
    if (entry.state != member_state::active)
        return false;
    if (report.applied_version > entry.confirmed) {
        entry.confirmed = report.applied_version;
        settle_in_flight(index);
    }
    if (report.applied_version == entry.version)
        settle(index, report);
    take_demand(index, report, now);
    return true;
}

void ledger::learn_holdings(std::size_t member_index, const share_report& report) {
    for (const held_share& held : report.held) {
        account& item = account_of(held.budget);
        grant& granted = grant_of(item, member_index);
        granted.target = held.held;
        granted.granted = held.held;
        granted.minimum = held.minimum;
        granted.granted_minimum = held.minimum;
        // Slots in use may exceed the holder's own target; assigning what was learned makes both sides agree.
        if (is_returned_after_use(held.budget.kind))
            granted.version = m_members[member_index].version + 1;
        item.confirmed += held.held;
        item.is_dirty = true;
    }
    m_members[member_index].state = member_state::active;
    m_members[member_index].holdings_known = true;
    m_members[member_index].has_changes = true;
    for (account& item : m_accounts)
        item.is_dirty = true;
}

void ledger::settle(std::size_t member_index, const share_report& report) {
    member& entry = m_members[member_index];
    // Targets that changed after the confirmed assignment was sent are not confirmed by it. They are part of the next
    // version, so nothing is settled until that one was sent and confirmed.
    if (entry.has_changes)
        return;
    std::vector<std::size_t> unsettled;
    for (const std::size_t account_index : entry.unsettled) {
        account& item = m_accounts[account_index];
        const auto reported = std::ranges::find(report.held, item.budget, &held_share::budget);
        grant& granted = grant_of(item, member_index);
        settle_grant(item, granted, reported == report.held.end() ? nullptr : &*reported);
        if (granted.granted != granted.target || granted.granted_minimum != granted.minimum)
            unsettled.push_back(account_index);
    }
    entry.unsettled = std::move(unsettled);
}

void ledger::settle_in_flight(std::size_t member_index) {
    for (account& item : m_accounts) {
        grant& granted = grant_of(item, member_index);
        if (granted.in_flight == 0 || granted.version > m_members[member_index].confirmed)
            continue;
        granted.in_flight = 0;
        item.is_dirty = true;
    }
}

void ledger::settle_grant(account& item, grant& granted, const held_share* reported) {
    const amount held = reported == nullptr ? granted.target : higher_of(granted.target, reported->held);
    const amount before = granted.granted;
    granted.granted = lower_of(granted.granted, held);
    granted.granted_minimum = lower_of(granted.granted_minimum, granted.minimum);
    const units drop = before.burst - granted.granted.burst;
    if (reported != nullptr && !is_returned_after_use(item.budget.kind))
        item.returned += std::min(drop, reported->released);
    if (before != granted.granted)
        item.is_dirty = true;
}

void ledger::take_demand(std::size_t member_index, const share_report& report, time_point now) {
    // Requests that wait are part of every report, so those that are left out were served or dropped.
    for (account& item : m_accounts)
        grant_of(item, member_index).waiting = 0;
    for (const budget_demand& demand : report.demand) {
        account& item = account_of(demand.budget);
        grant& granted = grant_of(item, member_index);
        granted.demand_at = now;
        const bool is_same = granted.demand == demand.rate && demand.waiting == 0;
        granted.waiting = demand.waiting;
        if (is_same)
            continue;
        granted.demand = demand.rate;
        item.is_dirty = true;
    }
}

void ledger::release_all(std::size_t member_index) {
    member& entry = m_members[member_index];
    if (entry.state == member_state::gone)
        return;
    entry.state = member_state::gone;
    entry.holdings_known = true;
    entry.has_changes = false;
    entry.unsettled.clear();
    for (account& item : m_accounts) {
        grant_of(item, member_index) = {};
        item.is_dirty = true;
    }
}

void ledger::reclaim(std::size_t member_index, bool slots) {
    member& entry = m_members[member_index];
    for (account& item : m_accounts) {
        if (is_returned_after_use(item.budget.kind) != slots)
            continue;
        grant& granted = grant_of(item, member_index);
        // Nothing was learned about a member that never reported; it holds at most the largest minimum ever given.
        const amount kept = entry.holdings_known ? granted.granted_minimum : item.minimum;
        granted.granted = m_options.rules.keep_fenced_minimum ? kept : amount{};
        granted.in_flight = 0;
        granted.granted_minimum = granted.granted;
        granted.target = granted.granted;
        granted.minimum = granted.granted;
        granted.demand = 0;
        item.is_dirty = true;
    }
}

void ledger::allocate(time_point now) {
    for (std::size_t index = 0; index < m_members.size(); ++index) {
        member& entry = m_members[index];
        if (entry.state == member_state::fenced && now >= entry.reclaim_at) {
            reclaim(index, false);
            entry.state = member_state::reclaimed;
        }
        if (entry.state == member_state::reclaimed && !entry.slots_reclaimed && now >= entry.reclaim_slots_at) {
            reclaim(index, true);
            entry.slots_reclaimed = true;
        }
    }
    for (account& item : m_accounts) {
        expire_demand(item, now);
        if (item.is_dirty)
            allocate_account(item, now);
    }
}

void ledger::expire_demand(account& item, time_point now) const {
    for (grant& granted : item.grants) {
        if (granted.waiting > 0 && item.pool.available(now) >= std::min(granted.waiting, one_unit))
            item.is_dirty = true;
        if (granted.lent > 0 && now >= granted.lent_until) {
            granted.lent = 0;
            item.is_dirty = true;
        }
        if (granted.demand == 0 || now - granted.demand_at < m_options.demand_lifetime)
            continue;
        granted.demand = 0;
        item.is_dirty = true;
    }
}

void ledger::allocate_account(account& item, time_point now) {
    if (!item.has_ceiling)
        return;
    item.is_dirty = false;
    adapt_pool(item, now);
    amount total = assignable(item);
    if (item.goal)
        total = lower_of(total, *item.goal);
    std::vector<std::size_t> receivers;
    std::vector<allocation_claim> claims;
    const bool slots = is_returned_after_use(item.budget.kind);
    for (std::size_t index = 0; index < m_members.size(); ++index) {
        const grant& granted = grant_of(item, index);
        if (m_members[index].state != member_state::active) {
            total -= granted.granted;
            continue;
        }
        receivers.push_back(index);
        claims.push_back({.demand = granted.demand,
                          .weight = m_members[index].weight,
                          .minimum = slots ? amount{} : item.minimum,
                          .current = granted.target - amount{.burst = granted.lent}});
    }
    total = higher_of(total, {});
    amount minimum_sum;
    for (const allocation_claim& claim : claims)
        minimum_sum += claim.minimum;
    total -= m_policy.pool(item.budget.kind, higher_of(total - minimum_sum, {}), claims.size());
    std::vector<amount> wanted = m_policy.targets(item.budget.kind, total, claims);
    for (std::size_t position = 0; position < receivers.size(); ++position)
        wanted[position].burst += grant_of(item, receivers[position]).lent;
    set_targets(item, receivers, wanted, now);
    adapt_pool(item, now);
    serve_waiting(item, receivers, now);
}

void ledger::adapt_pool(account& item, time_point now) {
    if (is_returned_after_use(item.budget.kind))
        return;
    const amount free = higher_of(assignable(item) - granted_sum(item), {});
    item.pool.lower(free, now);
    item.pool.raise(free, item.returned, now);
    item.returned = 0;
}

void ledger::serve_waiting(account& item, const std::vector<std::size_t>& receivers, time_point now) {
    // Starting at another holder each time keeps the first ones from taking everything.
    ++item.turn;
    for (std::size_t position = 0; position < receivers.size(); ++position) {
        const std::size_t index = receivers[(position + item.turn) % receivers.size()];
        grant& granted = grant_of(item, index);
        const units waiting = granted.waiting;
        // While an earlier assignment is on its way the same requests would be counted again.
        if (waiting <= 0 || granted.version > m_members[index].confirmed || is_returned_after_use(item.budget.kind))
            continue;
        const units available = item.pool.available(now);
        // What is expected to arrive until the loan ends goes along, so that it needs no further message; unused tokens
        // come back. A quarter leaves enough for the others.
        const units expected = std::min(scaled(granted.demand, prefetch_time.count(), 1000), available / 4);
        const units licensed = granted.target.burst - granted.minimum.burst;
        const units useful = std::max(waiting, std::min(waiting + expected, licensed));
        const units lent = std::min(useful, available);
        // Less than a unit cannot be spent and would only be missing elsewhere.
        if (lent < std::min(waiting, one_unit))
            continue;
        granted.waiting -= std::min(waiting, lent);
        // A share that is too small for the tokens grows until the loan ends.
        const units growth = std::max<units>(0, lent - licensed);
        granted.lent += growth;
        granted.lent_until = now + loan_time;
        change_target(item, index, granted.target + amount{.burst = growth}, lent, now);
        adapt_pool(item, now);
    }
}

void ledger::set_targets(account& item, const std::vector<std::size_t>& receivers, const std::vector<amount>& wanted,
                         time_point now) {
    amount needed;
    for (std::size_t position = 0; position < receivers.size(); ++position) {
        const grant& granted = grant_of(item, receivers[position]);
        needed += higher_of(wanted[position], granted.granted) - granted.granted;
    }
    const amount free = higher_of(assignable(item) - granted_sum(item), {});
    const units pool = std::min(item.pool.available(now), free.burst);
    const units raised = std::min(needed.burst, free.burst);
    for (std::size_t position = 0; position < receivers.size(); ++position) {
        const std::size_t index = receivers[position];
        const grant& granted = grant_of(item, index);
        const amount need = higher_of(wanted[position], granted.granted) - granted.granted;
        amount covered{.rate = scaled(need.rate, free.rate, needed.rate),
                       .burst = scaled(need.burst, free.burst, needed.burst)};
        if (is_returned_after_use(item.budget.kind))
            covered.burst -= covered.burst % one_unit;
        const amount target = lower_of(wanted[position], granted.granted + covered);
        change_target(item, index, target, raised > 0 ? scaled(pool, covered.burst, raised) : 0, now);
    }
}

void ledger::change_target(account& item, std::size_t member_index, const amount& target, units carried,
                           time_point now) {
    grant& granted = grant_of(item, member_index);
    member& entry = m_members[member_index];
    const bool slots = is_returned_after_use(item.budget.kind);
    const amount minimum = slots ? amount{} : lower_of(item.minimum, target);
    if (target == granted.target && minimum == granted.minimum && carried == 0)
        return;
    granted.target = target;
    granted.minimum = minimum;
    granted.carried += carried;
    const units growth = std::max<units>(0, target.burst - granted.granted.burst);
    granted.in_flight += std::max<units>(0, carried - growth);
    [[maybe_unused]] const bool taken = item.pool.spend(carried, now);
    assert(taken);
    granted.version = entry.version + 1;
    entry.has_changes = true;
    granted.granted = higher_of(granted.granted, target);
    granted.granted_minimum = higher_of(granted.granted_minimum, minimum);
    if (!m_options.rules.lower_needs_version)
        granted.granted = target;
    const std::size_t account_index = m_account_indexes.at(item.budget);
    if (std::ranges::find(entry.unsettled, account_index) == entry.unsettled.end())
        entry.unsettled.push_back(account_index);
}

std::optional<share_assignment> ledger::assignment_for(const holder_id& holder) {
    const auto found = m_member_indexes.find(holder);
    if (found == m_member_indexes.end())
        return std::nullopt;
    member& entry = m_members[found->second];
    if (entry.state != member_state::active)
        return std::nullopt;
    if (entry.has_changes) {
        ++entry.version;
        entry.has_changes = false;
    }
    if (entry.confirmed == entry.version)
        return std::nullopt;
    share_assignment assignment{.holder = holder,
                                .epoch = m_options.epoch,
                                .base_version = entry.confirmed,
                                .version = entry.version,
                                .shares = {}};
    for (account& item : m_accounts) {
        const grant& granted = grant_of(item, found->second);
        if (granted.version > entry.confirmed)
            assignment.shares.push_back({.budget = item.budget,
                                         .target = granted.target,
                                         .minimum = granted.minimum,
                                         .carried = granted.carried});
    }
    return assignment;
}

std::vector<holder_id> ledger::holders_to_inform() const {
    std::vector<holder_id> result;
    for (const member& entry : m_members)
        if (entry.state == member_state::active && entry.has_changes)
            result.push_back(entry.holder);
    return result;
}

std::vector<holder_id> ledger::unknown_holders() const {
    std::vector<holder_id> result;
    for (const member& entry : m_members)
        if (entry.state == member_state::unknown)
            result.push_back(entry.holder);
    return result;
}

amount ledger::ceiling(const budget_id& budget) const {
    const account* item = find_account(budget);
    return item == nullptr ? amount{} : item->ceiling;
}

amount ledger::granted(const budget_id& budget) const {
    const account* item = find_account(budget);
    return item == nullptr ? amount{} : granted_sum(*item);
}

units ledger::demand(const budget_id& budget, time_point now) const {
    const account* item = find_account(budget);
    units result = 0;
    if (item == nullptr)
        return result;
    for (const grant& granted : item->grants)
        if (now - granted.demand_at < m_options.demand_lifetime)
            result += granted.demand;
    return result;
}

std::vector<budget_id> ledger::budgets() const {
    std::vector<budget_id> result;
    for (const account& item : m_accounts)
        result.push_back(item.budget);
    return result;
}

ledger::account& ledger::account_of(const budget_id& budget) {
    const auto [position, is_new] = m_account_indexes.try_emplace(budget, m_accounts.size());
    if (is_new) {
        m_accounts.emplace_back();
        m_accounts.back().budget = budget;
    }
    return m_accounts[position->second];
}

const ledger::account* ledger::find_account(const budget_id& budget) const {
    const auto found = m_account_indexes.find(budget);
    return found == m_account_indexes.end() ? nullptr : &m_accounts[found->second];
}

ledger::member* ledger::find_member(const holder_id& holder) {
    const auto found = m_member_indexes.find(holder);
    return found == m_member_indexes.end() ? nullptr : &m_members[found->second];
}

ledger::grant& ledger::grant_of(account& item, std::size_t member_index) {
    if (item.grants.size() <= member_index)
        item.grants.resize(m_members.size());
    return item.grants[member_index];
}

amount ledger::granted_sum(const account& item) const {
    amount result;
    for (const grant& granted : item.grants)
        result += granted.granted + amount{.burst = granted.in_flight};
    return result;
}

amount ledger::assignable(const account& item) const {
    if (!m_options.rules.unknown_members_block || !has_unknown_part(is_returned_after_use(item.budget.kind)))
        return item.ceiling;
    return lower_of(item.ceiling, item.confirmed);
}

bool ledger::has_unknown_part(bool slots) const {
    return std::ranges::any_of(m_members, [&](const member& entry) {
        if (entry.state == member_state::unknown)
            return true;
        if (entry.holdings_known || entry.state == member_state::joined || entry.state == member_state::gone)
            return false;
        return entry.state == member_state::fenced || (slots && !entry.slots_reclaimed);
    });
}

} // namespace ragworthinge
