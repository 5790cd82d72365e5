#include "escrow/licence.h"

#include <algorithm>

namespace ragworthinge {

void licence::page_read(std::int64_t page_revision, std::vector<holder_id> members, time_point poll_sent) {
    if (page_revision < m_page_revision)
        return;
    m_page_revision = page_revision;
    m_members = std::move(members);
    std::erase_if(m_peers,
                  [&](const auto& peer) { return std::ranges::find(m_members, peer.first) == m_members.end(); });
    if (std::ranges::find(m_members, m_options.self) == m_members.end()) {
        m_fenced = true;
        return;
    }
    m_page_read_at = std::max(poll_sent, m_page_read_at.value_or(poll_sent));
    add_proof(poll_sent);
}

void licence::peer_answered(const peer_answer& answer) {
    if (std::ranges::find(m_members, answer.peer) == m_members.end())
        return;
    if (!answer.lists_this_holder) {
        // The peer may only have read an older page than the one that this holder joined by, so this is no fence yet;
        // but its silence no longer counts as agreement.
        m_peers.erase(answer.peer);
        return;
    }
    peer_evidence& evidence = m_peers[answer.peer];
    if (answer.poll_sent < evidence.poll_sent)
        return;
    evidence.poll_sent = answer.poll_sent;
    evidence.store_contact.reset();
    if (!answer.proof_age)
        return;
    // The peer answered after the poll was sent, so its proof is at least as recent as this.
    evidence.store_contact = answer.poll_sent - *answer.proof_age;
    add_proof(*evidence.store_contact);
}

void licence::iteration(time_point now) {
    const bool was_paused = m_last_iteration && now - *m_last_iteration > m_options.lease;
    m_last_iteration = std::max(now, m_last_iteration.value_or(now));
    if (!was_paused)
        return;
    m_proven_at.reset();
    m_peers.clear();
}

licence_mode licence::mode(time_point now) const {
    if (m_fenced)
        return licence_mode::minimum_only;
    if (m_last_iteration && now - *m_last_iteration > m_options.lease)
        return licence_mode::minimum_only;
    if (m_proven_at && is_recent(*m_proven_at, now))
        return licence_mode::proven;
    if (region_is_cut_off(now))
        return licence_mode::outage;
    return licence_mode::minimum_only;
}

std::optional<time_point> licence::proven_until() const {
    if (m_fenced || !m_proven_at)
        return std::nullopt;
    return *m_proven_at + m_options.lease;
}

std::optional<duration> licence::direct_proof_age(time_point now) const {
    if (!m_page_read_at || !is_recent(*m_page_read_at, now))
        return std::nullopt;
    return now - *m_page_read_at;
}

bool licence::is_recent(time_point evidence, time_point now) const {
    return now - evidence < m_options.lease;
}

bool licence::region_is_cut_off(time_point now) const {
    if (m_page_revision < 0)
        return false;
    return std::ranges::all_of(m_members, [&](const holder_id& member) {
        if (member == m_options.self)
            return true;
        const auto found = m_peers.find(member);
        if (found == m_peers.end() || !is_recent(found->second.poll_sent, now))
            return false;
        return !found->second.store_contact;
    });
}

void licence::add_proof(time_point proven_at) {
    m_proven_at = std::max(proven_at, m_proven_at.value_or(proven_at));
}

} // namespace ragworthinge
