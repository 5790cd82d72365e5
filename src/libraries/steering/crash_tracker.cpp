#include "steering/crash_tracker.h"

namespace ragworthinge {

void crash_tracker::record_crash(std::uint64_t fingerprint, time_point now) {
    remove_expired(m_own, now);
    if (m_own.size() >= m_options.record_limit && !m_own.contains(fingerprint))
        return;
    count& record = m_own[fingerprint];
    ++record.upstream_crashes;
    record.last_crash = now;
}

void crash_tracker::record_answer(std::uint64_t fingerprint) {
    m_own.erase(fingerprint);
}

void crash_tracker::merge(const host_id& host, const std::vector<crash_notice>& notices, time_point now) {
    counts records;
    for (const crash_notice& notice : notices)
        records[notice.fingerprint] = {notice.upstream_crashes, now};
    m_others[host] = std::move(records);
}

bool crash_tracker::is_refused(std::uint64_t fingerprint, time_point now) const {
    unsigned upstream_crashes = 0;
    const auto add = [&](const counts& records) {
        const auto found = records.find(fingerprint);
        if (found != records.end() && now - found->second.last_crash < m_options.retention)
            upstream_crashes += found->second.upstream_crashes;
    };
    add(m_own);
    for (const auto& [host, records] : m_others)
        add(records);
    return upstream_crashes >= m_options.crash_limit;
}

void crash_tracker::remove_expired(counts& records, time_point now) const {
    std::erase_if(records, [&](const auto& entry) { return now - entry.second.last_crash >= m_options.retention; });
}

std::vector<crash_notice> crash_tracker::notices(time_point now) {
    remove_expired(m_own, now);
    std::vector<crash_notice> all;
    for (const auto& [fingerprint, record] : m_own)
        all.push_back({fingerprint, record.upstream_crashes});
    return all;
}

std::vector<crash_notice> crash_tracker::notices_without(const host_id& host, time_point now) {
    std::map<std::uint64_t, std::uint32_t> sums;
    for (const crash_notice& notice : notices(now))
        sums[notice.fingerprint] += notice.upstream_crashes;
    for (auto& [other, records] : m_others) {
        remove_expired(records, now);
        if (other == host)
            continue;
        for (const auto& [fingerprint, record] : records)
            sums[fingerprint] += record.upstream_crashes;
    }
    std::vector<crash_notice> all;
    for (const auto& [fingerprint, upstream_crashes] : sums)
        all.push_back({fingerprint, upstream_crashes});
    return all;
}

} // namespace ragworthinge
