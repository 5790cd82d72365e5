#include "requests/poison_registry.h"

#include <algorithm>

namespace ragworthinge {

poison_verdict poison_registry::start(const std::string& fingerprint, wall_time now) {
    const auto known = m_records.find(fingerprint);
    if (known == m_records.end())
        return {};
    const std::vector<upstream_crash> crashes = recent_crashes(known->second, now);
    if (crashes.empty())
        return {};

    poison_verdict verdict;
    if (crashes.size() >= m_options.crashes_to_quarantine) {
        wall_time last = crashes.front().at;
        for (const upstream_crash& crash : crashes)
            last = std::max(last, crash.at);
        verdict.decision = poison_verdict::kind::quarantined;
        verdict.retry_after = std::chrono::ceil<std::chrono::seconds>(last + m_options.quarantine - now);
        return verdict;
    }
    for (const upstream_crash& crash : crashes)
        verdict.avoid.insert(crash.failure_domain);
    std::size_t& running = m_suspect_runs[fingerprint];
    if (running > 0) {
        verdict.decision = poison_verdict::kind::wait;
        return verdict;
    }
    ++running;
    return verdict;
}

std::optional<poison_record> poison_registry::finish(const poison_subject& subject, run_outcome end,
                                                     const upstream_id& upstream,
                                                     const failure_domain_id& failure_domain, wall_time now) {
    m_suspect_runs.erase(subject.fingerprint);
    const auto known = m_records.find(subject.fingerprint);
    if (end == run_outcome::answered) {
        // A run that started before the quarantine does not end it; only an operator or its expiry does.
        if (known == m_records.end())
            return std::nullopt;
        const std::vector<upstream_crash> crashes = recent_crashes(known->second, now);
        if (crashes.empty() || crashes.size() >= m_options.crashes_to_quarantine)
            return std::nullopt;
        return release(subject.fingerprint);
    }
    if (end != run_outcome::connection_lost)
        return std::nullopt;

    if (known == m_records.end())
        evict_if_full();
    poison_record& record = m_records[subject.fingerprint];
    record.fingerprint = subject.fingerprint;
    record.account = subject.account;
    record.method = subject.method;
    record.path = subject.path;
    const std::string id = m_options.host + "/" + std::to_string(m_options.run) + "/" + std::to_string(++m_last_crash);
    record.crashes.push_back({id, upstream, failure_domain, now});
    return record;
}

std::optional<poison_record> poison_registry::merge(const poison_record& record, wall_time now) {
    if (recent_crashes(record, now).empty() && !m_records.contains(record.fingerprint))
        return std::nullopt;
    const auto known = m_records.find(record.fingerprint);
    if (known == m_records.end()) {
        evict_if_full();
        m_records.emplace(record.fingerprint, record);
        return std::nullopt;
    }
    known->second.merge(record);
    poison_record received = record;
    return received.merge(known->second) ? std::optional(known->second) : std::nullopt;
}

std::optional<poison_record> poison_registry::release(const std::string& fingerprint) {
    const auto known = m_records.find(fingerprint);
    if (known == m_records.end())
        return std::nullopt;
    for (const upstream_crash& crash : known->second.crashes)
        known->second.cleared.insert(crash.id);
    return known->second;
}

std::vector<poison_record> poison_registry::list(wall_time now) const {
    std::vector<poison_record> quarantined;
    for (const auto& [fingerprint, record] : m_records) {
        if (recent_crashes(record, now).size() >= m_options.crashes_to_quarantine)
            quarantined.push_back(record);
    }
    return quarantined;
}

std::vector<std::string> poison_registry::expire(wall_time now) {
    std::vector<std::string> removable;
    std::erase_if(m_records, [&](const auto& entry) {
        const auto is_expired = [&](const upstream_crash& crash) {
            return now - crash.at >= m_options.quarantine;
        };
        // Cleared crashes are kept until they expire, so that a late record of another host cannot restore them.
        const std::vector<upstream_crash>& crashes = entry.second.crashes;
        if (!std::all_of(crashes.begin(), crashes.end(), is_expired))
            return false;
        removable.push_back(entry.first);
        m_suspect_runs.erase(entry.first);
        return true;
    });
    return removable;
}

std::vector<upstream_crash> poison_registry::recent_crashes(const poison_record& record, wall_time now) const {
    std::vector<upstream_crash> recent = record.uncleared_crashes();
    std::erase_if(recent, [&](const upstream_crash& crash) { return now - crash.at >= m_options.quarantine; });
    return recent;
}

void poison_registry::evict_if_full() {
    if (m_records.size() < m_options.max_records)
        return;
    const auto latest_crash = [](const poison_record& record) {
        wall_time time;
        for (const upstream_crash& crash : record.crashes)
            time = std::max(time, crash.at);
        return time;
    };
    // Evicts the record with the fewest crashes, then the oldest, so that many single crashes do not end a quarantine.
    const auto evicted = std::min_element(m_records.begin(), m_records.end(), [&](const auto& left, const auto& right) {
        const auto left_crashes = left.second.uncleared_crashes().size();
        const auto right_crashes = right.second.uncleared_crashes().size();
        return left_crashes != right_crashes ? left_crashes < right_crashes
                                             : latest_crash(left.second) < latest_crash(right.second);
    });
    m_suspect_runs.erase(evicted->first);
    m_records.erase(evicted);
}

std::string quarantine_store_key(const std::string& fingerprint) {
    return "quarantine/" + fingerprint;
}

} // namespace ragworthinge
