#include "requests/key_freshness.h"

#include <algorithm>

namespace ragworthinge {

void key_freshness::set_store_region_members(std::vector<host_id> members) {
    m_store_region_members = std::move(members);
    std::erase_if(m_reports, [&](const auto& entry) {
        return std::find(m_store_region_members.begin(), m_store_region_members.end(), entry.first) ==
               m_store_region_members.end();
    });
}

void key_freshness::set_revision_in_force(configuration_revision revision) {
    m_revision_in_force = revision;
    if (!m_pending_proof || m_pending_proof->revision > revision)
        return;
    const freshness_proof confirmed = *m_pending_proof;
    m_pending_proof.reset();
    accept_proof(confirmed);
}

void key_freshness::observe_store_answer(time_point sent_at, configuration_revision revision) {
    accept_proof({sent_at, revision});
}

void key_freshness::observe_peer(const peer_store_report& report) {
    if (report.proof_age)
        accept_proof({report.poll_sent_at - *report.proof_age, report.revision});

    const auto member = std::find(m_store_region_members.begin(), m_store_region_members.end(), report.host);
    if (member == m_store_region_members.end())
        return;
    peer_store_report& latest_report = m_reports.try_emplace(report.host, report).first->second;
    if (latest_report.poll_sent_at < report.poll_sent_at)
        latest_report = report;
}

freshness key_freshness::evaluate(time_point now) const {
    if (m_latest_proof_at && now - *m_latest_proof_at <= m_options.max_proof_age)
        return freshness::proven;
    return is_store_outage(now) ? freshness::store_outage : freshness::stale;
}

void key_freshness::accept_proof(freshness_proof candidate) {
    if (candidate.revision <= m_revision_in_force) {
        m_latest_proof_at = std::max(m_latest_proof_at.value_or(candidate.at), candidate.at);
        return;
    }
    if (!m_pending_proof || m_pending_proof->at < candidate.at)
        m_pending_proof = candidate;
}

bool key_freshness::is_store_outage(time_point now) const {
    // Without a known member an outage cannot be distinguished from a network partition.
    if (m_store_region_members.empty())
        return false;
    return std::all_of(m_store_region_members.begin(), m_store_region_members.end(), [&](const host_id& member) {
        const auto found = m_reports.find(member);
        if (found == m_reports.end() || now - found->second.poll_sent_at > m_options.max_proof_age)
            return false;
        const peer_store_report& report = found->second;
        // Peers report a proof until it expires, which is up to one heartbeat too long for this host. A recent report
        // whose proof has expired in the meantime therefore also counts as lost contact.
        const bool is_recent = now - report.poll_sent_at <= m_options.recent_report_age;
        const duration current_proof_age = is_recent && report.proof_age
                                               ? *report.proof_age + (now - report.poll_sent_at)
                                               : report.proof_age.value_or(duration{});
        const bool reaches_store = report.proof_age && current_proof_age <= m_options.max_proof_age;
        return !reaches_store && report.revision <= m_revision_in_force;
    });
}

} // namespace ragworthinge
