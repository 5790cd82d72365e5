#include "escrow/share_holder.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace ragworthinge {

namespace {

/// A change of the demand by more than this many standard deviations of a Poisson count replaces the smoothed estimate
/// at once. Fewer would follow noise; smoothing alone takes several windows to follow a jump.
constexpr double jump_deviations = 3.5;

/// Arrivals that the demand estimate is smoothed over. With 30 its relative deviation is about an eighth.
constexpr double steady_arrivals = 20;

/// Longest smoothing time, for budgets with few requests.
constexpr double longest_window_seconds = 4;

/// Arrivals are counted for at least this long; a report that confirms an assignment may follow the last one at once.
constexpr auto shortest_demand_interval = std::chrono::milliseconds{20};

/// Demand changes below this part of the last sent value are not sent.
constexpr double reported_change = 0.05;

double to_seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

} // namespace

share_holder::share_holder(share_holder_options options)
    : m_options(std::move(options)), m_licence({.self = m_options.self, .lease = m_options.lease}),
      m_epoch(m_options.minimum_epoch) {}

budget_index share_holder::index_of(const budget_id& budget) {
    const auto [position, is_new] = m_indexes.try_emplace(budget, m_entries.size());
    if (!is_new)
        return position->second;
    const auto supply = is_returned_after_use(budget.kind) ? share::supply::refund : share::supply::refill;
    entry item;
    item.budget = budget;
    item.minimum = share(supply);
    item.licensed = share(supply);
    m_entries.push_back(std::move(item));
    return position->second;
}

void share_holder::iteration(time_point now) {
    m_licence.iteration(now);
    if (!m_demand_since)
        m_demand_since = now;
}

bool share_holder::spend(budget_index budget, units count, time_point now) {
    entry& item = m_entries[budget];
    const bool licensed = is_licensed(now);
    // The licensed part goes first so that the minimum is still full when the licence is lost.
    if (licensed && item.licensed.spend(count, now))
        return true;
    if (!is_returned_after_use(item.budget.kind)) {
        const units first = licensed ? item.licensed.available(now) : 0;
        if (item.minimum.spend(count - first, now))
            return first == 0 || item.licensed.spend(first, now);
    }
    note_shortage(item, count, now);
    return false;
}

void share_holder::note_shortage(entry& item, units count, time_point now) {
    item.refused += count;
    if (is_returned_after_use(item.budget.kind)) {
        m_runs_short = m_runs_short || item.licensed.in_use() + item.waiting > item.sent_demand;
        return;
    }
    if (!item.sent_waiting)
        m_runs_short = true;
    const double seconds = to_seconds(now - m_demand_since.value_or(now));
    const double expected = static_cast<double>(item.sent_demand) * seconds / one_unit;
    const double asked = static_cast<double>(item.asked) / one_unit;
    if (asked > expected + jump_deviations * std::sqrt(std::max(1.0, expected)))
        m_runs_short = true;
}

void share_holder::set_waiting(budget_index budget, units count) {
    entry& item = m_entries[budget];
    item.waiting = count;
    if (count == 0)
        item.sent_waiting = false;
}

void share_holder::refund(budget_index budget, units count) {
    m_entries[budget].licensed.refund(count);
}

share_report share_holder::report(time_point now) {
    share_report report{.holder = m_options.self,
                        .epoch = m_epoch,
                        .applied_version = m_applied_version,
                        .complete = m_applied_version == 0,
                        .leaving = m_resigned,
                        .held = {},
                        .demand = {}};
    if (m_resigned)
        return report;
    // What was asked before the first report has no known interval; iteration() normally starts it.
    duration elapsed = now - m_demand_since.value_or(now);
    if (m_demand_since && elapsed < shortest_demand_interval)
        elapsed = duration::zero();
    else
        m_demand_since = now;
    m_runs_short = false;
    m_has_lowered = false;
    for (entry& item : m_entries) {
        if (report.complete || must_report_held(item))
            report.held.push_back({.budget = item.budget,
                                   .held = item.minimum.size() + item.licensed.held(),
                                   .minimum = item.minimum.size(),
                                   .released = item.released});
        update_demand(item, elapsed);
        add_demand(item, now, report);
    }
    return report;
}

bool share_holder::must_report_held(const entry& item) const {
    if (item.released > 0)
        return true;
    return m_options.rules.keep_slots_in_use && item.licensed.held() != item.licensed.size();
}

void share_holder::update_demand(entry& item, duration elapsed) const {
    if (is_returned_after_use(item.budget.kind)) {
        item.demand = static_cast<double>(item.licensed.in_use() + item.waiting) / one_unit;
        return;
    }
    if (elapsed <= duration::zero())
        return;
    const double seconds = to_seconds(elapsed);
    const double shortest = to_seconds(m_options.demand_window);
    const double measured = static_cast<double>(item.asked) / one_unit / seconds;
    item.asked = 0;
    item.recent_demand += (1 - std::exp(-seconds / shortest)) * (measured - item.recent_demand);
    const double window = std::clamp(steady_arrivals / std::max(item.demand, 0.1), shortest, longest_window_seconds);
    item.demand += (1 - std::exp(-seconds / window)) * (measured - item.demand);
    // The variance of a Poisson rate smoothed over a window is rate / (2 x window).
    const double deviation = std::sqrt(std::max(item.demand, 1.0) / (2 * shortest));
    if (std::abs(item.recent_demand - item.demand) > jump_deviations * deviation)
        item.demand = item.recent_demand;
    const double interval_deviation = std::sqrt(std::max(1.0, item.demand * seconds)) / seconds;
    if (std::abs(measured - item.demand) <= jump_deviations * interval_deviation)
        return;
    item.demand = measured;
    item.recent_demand = measured;
}

void share_holder::add_demand(entry& item, time_point now, share_report& report) const {
    const auto demand = static_cast<units>(item.demand * one_unit);
    const bool is_due = now - item.demand_sent_at >= m_options.demand_repeat && (demand > 0 || item.sent_demand > 0);
    const double change = std::abs(static_cast<double>(demand - item.sent_demand));
    const bool changed = change > reported_change * static_cast<double>(std::max(item.sent_demand, one_unit));
    // Without a queue the refused units stand for waiting ones: as many will be asked for until the next report.
    units waiting = item.waiting > 0 ? item.waiting : item.refused;
    if (is_returned_after_use(item.budget.kind))
        waiting = 0;
    item.refused = 0;
    item.sent_waiting = waiting > 0;
    if (!report.complete && !is_due && !changed && waiting == 0)
        return;
    report.demand.push_back({.budget = item.budget, .rate = demand, .waiting = waiting});
    item.sent_demand = demand;
    item.demand_sent_at = now;
}

bool share_holder::apply(const share_assignment& assignment, time_point now) {
    const protocol_rules& rules = m_options.rules;
    if (m_resigned || assignment.holder != m_options.self)
        return false;
    if (assignment.epoch > m_epoch || (rules.ignore_older_epochs && assignment.epoch != m_epoch))
        return false;
    if (rules.ignore_older_versions &&
        (assignment.version <= m_applied_version || assignment.base_version > m_applied_version))
        return false;
    for (const assigned_share& assigned : assignment.shares)
        apply_share(assigned, assignment, now);
    m_applied_version = assignment.version;
    return true;
}

void share_holder::apply_share(const assigned_share& assigned, const share_assignment& assignment, time_point now) {
    const protocol_rules& rules = m_options.rules;
    entry& item = m_entries[index_of(assigned.budget)];
    // The allocator issued this after it processed a report with the released tokens, so they are counted or waived.
    if (rules.carry_once && assignment.base_version >= item.released_version)
        item.released = 0;
    const units carried = rules.carry_once ? std::max<units>(0, assigned.carried - item.carried) : assigned.carried;
    item.carried = assigned.carried;

    const amount licensed_target = assigned.target - assigned.minimum;
    m_has_lowered = m_has_lowered || !fits(item.minimum.size() + item.licensed.size(), assigned.target);
    const units released = item.minimum.lower(assigned.minimum, now) + item.licensed.lower(licensed_target, now);
    item.minimum.raise(assigned.minimum, 0, now);
    if (carried > 0)
        item.sent_waiting = false;
    const units grown = std::max<units>(0, licensed_target.burst - item.licensed.size().burst);
    item.licensed.raise(licensed_target, rules.raise_starts_empty ? carried : grown, now);
    if (released > 0) {
        item.released += released;
        item.released_version = assignment.version;
    }
}

void share_holder::adopt_epoch(allocator_epoch epoch) {
    if (epoch <= m_epoch)
        return;
    m_epoch = epoch;
    m_applied_version = 0;
    for (entry& item : m_entries) {
        item.carried = 0;
        item.released = 0;
        item.released_version = 0;
    }
}

share_report share_holder::resign() {
    m_resigned = true;
    const time_point never;
    for (entry& item : m_entries) {
        assert(item.licensed.in_use() == 0);
        item.minimum.lower({}, never);
        item.licensed.lower({}, never);
    }
    return report(never);
}

amount share_holder::held(budget_index budget) const {
    return m_entries[budget].minimum.size() + m_entries[budget].licensed.held();
}

units share_holder::available(budget_index budget, time_point now) const {
    const entry& item = m_entries[budget];
    return item.minimum.available(now) + (is_licensed(now) ? item.licensed.available(now) : 0);
}

amount share_holder::spendable_size(budget_index budget, time_point now) const {
    const entry& item = m_entries[budget];
    return is_licensed(now) ? item.minimum.size() + item.licensed.held() : item.minimum.size();
}

bool share_holder::is_licensed(time_point now) const {
    return !m_options.rules.spending_needs_licence || m_licence.mode(now) != licence_mode::minimum_only;
}

} // namespace ragworthinge
