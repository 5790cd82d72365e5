#include "steering/crash_register.h"

namespace ragworthinge {

void crash_register::record_death(std::uint64_t fingerprint, time_point now) {
    forget_old(m_own, now);
    if (m_own.size() >= m_options.record_limit && !m_own.contains(fingerprint))
        return;
    count& record = m_own[fingerprint];
    ++record.deaths;
    record.last_death = now;
}

void crash_register::record_answer(std::uint64_t fingerprint) {
    m_own.erase(fingerprint);
}

void crash_register::merge(const host_id& host, const std::vector<crash_notice>& notices, time_point now) {
    counts records;
    for (const crash_notice& notice : notices)
        records[notice.fingerprint] = {notice.deaths, now};
    m_others[host] = std::move(records);
}

bool crash_register::is_refused(std::uint64_t fingerprint, time_point now) const {
    unsigned deaths = 0;
    const auto add = [&](const counts& records) {
        const auto found = records.find(fingerprint);
        if (found != records.end() && now - found->second.last_death < m_options.memory)
            deaths += found->second.deaths;
    };
    add(m_own);
    for (const auto& [host, records] : m_others)
        add(records);
    return deaths >= m_options.death_limit;
}

void crash_register::forget_old(counts& records, time_point now) const {
    std::erase_if(records, [&](const auto& entry) { return now - entry.second.last_death >= m_options.memory; });
}

std::vector<crash_notice> crash_register::notices(time_point now) {
    forget_old(m_own, now);
    std::vector<crash_notice> all;
    for (const auto& [fingerprint, record] : m_own)
        all.push_back({fingerprint, record.deaths});
    return all;
}

std::vector<crash_notice> crash_register::notices_without(const host_id& host, time_point now) {
    std::map<std::uint64_t, std::uint32_t> sums;
    for (const crash_notice& notice : notices(now))
        sums[notice.fingerprint] += notice.deaths;
    for (auto& [other, records] : m_others) {
        forget_old(records, now);
        if (other == host)
            continue;
        for (const auto& [fingerprint, record] : records)
            sums[fingerprint] += record.deaths;
    }
    std::vector<crash_notice> all;
    for (const auto& [fingerprint, deaths] : sums)
        all.push_back({fingerprint, deaths});
    return all;
}

} // namespace ragworthinge
