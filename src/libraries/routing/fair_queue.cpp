#include "routing/fair_queue.h"

#include <algorithm>
#include <cassert>

namespace ragworthinge {

fair_queue::fair_queue(fair_queue_options options) : m_options(options) {}

void fair_queue::set_weights(std::span<const account_weight> weights) {
    m_weights.clear();
    m_smallest_weight = 1;
    bool first = true;
    for (const account_weight& item : weights) {
        if (!(item.weight > 0))
            continue;
        m_weights[item.account] = item.weight;
        m_smallest_weight = first ? item.weight : std::min(m_smallest_weight, item.weight);
        first = false;
    }

    m_by_excess.clear();
    for (auto& [name, account] : m_accounts) {
        const auto found = m_weights.find(name);
        account->weight = found == m_weights.end() ? m_smallest_weight : found->second;
        m_by_excess.insert(excess_of(*account));
    }
    std::erase_if(m_accounts, [&](const auto& item) {
        if (!item.second->entries.empty() || m_weights.contains(item.first))
            return false;
        m_by_excess.erase(excess_of(*item.second));
        return true;
    });
}

fair_queue::excess_key fair_queue::excess_of(account_queue& account) noexcept {
    // The first queued entry of an account does not count. Otherwise a full queue would always displace the only entry
    // of an account whose weight entitles it to less than one entry.
    const double counted = account.entries.empty() ? 0.0 : static_cast<double>(account.entries.size() - 1);
    return {counted / account.weight, account.ordinal, &account};
}

fair_queue::account_queue& fair_queue::account_for(const account_id& account) {
    auto& record = m_accounts[account];
    if (record)
        return *record;
    record = std::make_unique<account_queue>();
    record->account = account;
    record->ordinal = m_next_ordinal++;
    const auto found = m_weights.find(account);
    record->weight = found == m_weights.end() ? m_smallest_weight : found->second;
    m_by_excess.insert(excess_of(*record));
    return *record;
}

std::size_t fair_queue::account_limit() const noexcept {
    const double limit = m_options.max_account_fraction * static_cast<double>(m_options.total_limit);
    return std::max<std::size_t>(1, static_cast<std::size_t>(limit));
}

std::optional<refused_entry> fair_queue::push(queue_entry entry) {
    assert(!m_locations.contains(entry.ticket));
    account_queue& account = account_for(entry.account);
    insert(account, std::move(entry));

    if (account.entries.size() > account_limit())
        return refused_entry{remove_newest(account), refusal_reason::queue_full};
    if (size() > m_options.total_limit)
        return refused_entry{remove_newest(*m_by_excess.rbegin()->account), refusal_reason::queue_full};
    return std::nullopt;
}

void fair_queue::insert(account_queue& account, queue_entry entry) {
    const sequence_number sequence = m_next_sequence++;
    m_by_excess.erase(excess_of(account));
    m_locations[entry.ticket] = {&account, sequence};
    m_by_deadline.emplace(entry.deadline, entry.ticket);
    account.by_deadline.emplace(entry.deadline, sequence);
    account.entries.emplace(sequence, std::move(entry));
    m_by_excess.insert(excess_of(account));
    if (account.state == account_state::idle)
        add_to_current_round(account);
}

queue_entry fair_queue::remove(account_queue& account, sequence_number sequence) {
    const auto position = account.entries.find(sequence);
    assert(position != account.entries.end());
    queue_entry entry = std::move(position->second);
    m_by_excess.erase(excess_of(account));
    account.entries.erase(position);
    account.by_deadline.erase({entry.deadline, sequence});
    m_by_deadline.erase({entry.deadline, entry.ticket});
    m_locations.erase(entry.ticket);
    m_by_excess.insert(excess_of(account));
    if (account.entries.empty())
        remove_from_rounds(account);
    return entry;
}

queue_entry fair_queue::remove_newest(account_queue& account) {
    assert(!account.entries.empty());
    return remove(account, account.entries.rbegin()->first);
}

void fair_queue::add_to_current_round(account_queue& account) {
    account.state = account_state::current_round;
    m_current_round.push_back(&account);
    account.position = std::prev(m_current_round.end());
}

void fair_queue::remove_from_rounds(account_queue& account) {
    switch (account.state) {
    case account_state::idle:
        break;
    case account_state::current_round:
        m_current_round.erase(account.position);
        break;
    case account_state::next_round:
        m_next_round.erase(account.position);
        break;
    case account_state::suspended:
        m_suspended.erase({account.suspended_until, account.account});
        break;
    }
    account.state = account_state::idle;
}

void fair_queue::start_round_if_needed() {
    if (!m_current_round.empty())
        return;
    m_current_round.swap(m_next_round);
    for (account_queue* account : m_current_round)
        account->state = account_state::current_round;
    ++m_round;
}

const queue_entry* fair_queue::front() {
    while (!m_current_round.empty() || !m_next_round.empty()) {
        start_round_if_needed();
        account_queue& account = *m_current_round.front();
        // The deficit grows once per round, including rounds in which the account was idle. Otherwise an account that
        // empties its queue repeatedly would get a new deficit on each return and exceed its weight.
        if (account.round != m_round) {
            const double entries_per_round = account.weight / m_smallest_weight;
            const auto rounds = static_cast<double>(m_round - account.round);
            account.deficit = std::min(account.deficit + rounds * entries_per_round,
                                       m_options.max_credit_rounds * entries_per_round + 1);
            account.round = m_round;
        }
        if (account.deficit >= 1)
            return &account.entries.at(account.by_deadline.begin()->second);

        m_next_round.splice(m_next_round.end(), m_current_round, m_current_round.begin());
        account.state = account_state::next_round;
    }
    return nullptr;
}

queue_entry fair_queue::pop_front() {
    const queue_entry* next = front();
    assert(next != nullptr);
    const location where = m_locations.at(next->ticket);
    account_queue& account = *where.account;
    account.deficit -= 1;
    m_current_round.splice(m_current_round.end(), m_current_round, account.position);
    return remove(account, where.sequence);
}

void fair_queue::suspend(const account_id& account, time_point until) {
    const auto found = m_accounts.find(account);
    if (found == m_accounts.end() || found->second->state == account_state::idle)
        return;
    remove_from_rounds(*found->second);
    found->second->state = account_state::suspended;
    found->second->suspended_until = until;
    m_suspended.emplace(until, account);
}

void fair_queue::resume(time_point now) {
    while (!m_suspended.empty() && m_suspended.begin()->first <= now) {
        account_queue& account = *m_accounts.at(m_suspended.begin()->second);
        m_suspended.erase(m_suspended.begin());
        add_to_current_round(account);
    }
}

bool fair_queue::cancel(request_ticket ticket) {
    const auto position = m_locations.find(ticket);
    if (position == m_locations.end())
        return false;
    const location where = position->second;
    remove(*where.account, where.sequence);
    return true;
}

std::vector<queue_entry> fair_queue::remove_missed(time_point earliest_response) {
    std::vector<queue_entry> missed;
    while (!m_by_deadline.empty() && m_by_deadline.begin()->first < earliest_response) {
        const location where = m_locations.at(m_by_deadline.begin()->second);
        missed.push_back(remove(*where.account, where.sequence));
    }
    return missed;
}

std::vector<queue_entry> fair_queue::remove_enqueued_by(const account_id& account, time_point enqueued_by) {
    std::vector<queue_entry> older;
    const auto found = m_accounts.find(account);
    if (found == m_accounts.end())
        return older;
    account_queue& queue = *found->second;
    while (!queue.entries.empty() && queue.entries.begin()->second.enqueued_at <= enqueued_by)
        older.push_back(remove(queue, queue.entries.begin()->first));
    return older;
}

std::vector<queue_entry> fair_queue::remove_all() {
    std::vector<queue_entry> all;
    all.reserve(size());
    while (!m_by_deadline.empty()) {
        const location where = m_locations.at(m_by_deadline.begin()->second);
        all.push_back(remove(*where.account, where.sequence));
    }
    return all;
}

std::vector<account_id> fair_queue::suspended_accounts() const {
    std::vector<account_id> accounts;
    accounts.reserve(m_suspended.size());
    for (const auto& [until, account] : m_suspended)
        accounts.push_back(account);
    return accounts;
}

std::size_t fair_queue::size_of(const account_id& account) const {
    const auto found = m_accounts.find(account);
    return found == m_accounts.end() ? 0 : found->second->entries.size();
}

} // namespace ragworthinge
