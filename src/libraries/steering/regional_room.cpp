#include "steering/regional_room.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace ragworthinge {

namespace {

double seconds(duration time) {
    return std::chrono::duration<double>(time).count();
}

} // namespace

void regional_room::advance(time_point now) {
    const double elapsed = m_advanced_at ? std::max(0.0, seconds(now - *m_advanced_at)) : 0;
    m_advanced_at = now;
    const double change = (m_options.target_load - m_load) * elapsed / seconds(m_options.factor_time_constant);
    m_factor = std::clamp(m_factor * std::exp(change), m_options.min_factor, m_options.max_factor);
    const double whole = std::floor(limit());
    const double used = static_cast<double>(m_in_flight) > whole ? 1 : 0;
    m_credit = std::clamp(m_credit + (limit() - whole - used) * elapsed, -m_typical_seconds, m_typical_seconds);
}

void regional_room::update(const room_state& state, time_point now) {
    const double elapsed = m_advanced_at ? std::max(0.0, seconds(now - *m_advanced_at)) : 0;
    const bool was_short = is_short();
    // The load comes first, so that after a pause the factor does not follow the load from before it.
    m_load += (1 - std::exp(-elapsed / seconds(m_options.load_time_constant))) * (state.load - m_load);
    m_own_slots = state.own_slots;
    advance(now);
    if (!was_short && m_load > m_options.target_load) {
        m_factor = 1;
        m_credit = 0;
    }
}

bool regional_room::is_part_used_up() const noexcept {
    const auto in_flight = static_cast<double>(m_in_flight);
    return in_flight >= std::floor(limit()) && (in_flight >= std::ceil(limit()) || m_credit < 0);
}

bool regional_room::may_send(const account_id& account, time_point now) {
    advance(now);
    return !is_part_used_up() || is_within_fair_share(account, now);
}

duration regional_room::expected_wait(time_point now) {
    advance(now);
    if (!is_part_used_up())
        return duration::zero();
    constexpr double min_slots = 0.02;
    const double slots = std::max(limit(), min_slots);
    // On average half of the time of an attempt is left.
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(m_typical_seconds / 2 / slots));
}

double regional_room::rate_of(const decayed_count& count, time_point now) const {
    const double age = seconds(now - count.counted_at) / seconds(m_options.count_time_constant);
    return count.amount * std::exp(-age) / seconds(m_options.count_time_constant);
}

void regional_room::add_to(decayed_count& count, time_point now) const {
    count.amount = rate_of(count, now) * seconds(m_options.count_time_constant) + 1;
    count.counted_at = now;
}

void regional_room::record_demand(const account_id& account, time_point now) {
    add_to(m_demands[account], now);
}

void regional_room::record_decision(bool is_refused, time_point now) {
    add_to(m_decisions, now);
    if (is_refused)
        add_to(m_refusals, now);
}

double regional_room::refused_fraction(time_point now) const {
    // One decision more lets the fraction fade when no requests come.
    return rate_of(m_refusals, now) / (rate_of(m_decisions, now) + 1 / seconds(m_options.count_time_constant));
}

bool regional_room::is_within_fair_share(const account_id& account, time_point now) const {
    // Small accounts may exceed the part by as much again: if all accounts are small, there is no large one to hold
    // back.
    if (static_cast<double>(m_in_flight) >= 2 * std::max(1.0, std::ceil(limit())))
        return false;
    std::vector<double> demands;
    demands.reserve(m_demands.size());
    for (const auto& [name, count] : m_demands)
        demands.push_back(rate_of(count, now));
    std::sort(demands.begin(), demands.end());
    double left = limit() / m_typical_seconds;
    std::size_t accounts = demands.size();
    for (const double demand : demands) {
        if (demand > left / static_cast<double>(accounts))
            break;
        left -= demand;
        --accounts;
    }
    const auto own = m_demands.find(account);
    // The request itself does not count, since the first one of an account would look like many.
    const double others =
        own == m_demands.end() ? 0 : rate_of(own->second, now) - 1 / seconds(m_options.count_time_constant);
    return accounts == 0 || others <= left / static_cast<double>(accounts);
}

void regional_room::record_start(time_point now) {
    advance(now);
    ++m_in_flight;
}

void regional_room::record_end(std::optional<duration> taken, time_point now) {
    advance(now);
    --m_in_flight;
    if (taken)
        m_typical_seconds += m_options.average_weight * (seconds(*taken) - m_typical_seconds);
}

} // namespace ragworthinge
