#include "membership/suspicion.h"

#include <iterator>
#include <utility>

namespace ragworthinge {

suspicion::suspicion(suspicion_options options) : m_options(options) {}

void suspicion::report(const host_id& observer, const failure_domain_id& domain, std::vector<host_id> silent_hosts,
                       time_point received_at) {
    observer_report& entry = m_reports[observer];
    entry.domain = domain;
    entry.silent_hosts = {std::make_move_iterator(silent_hosts.begin()), std::make_move_iterator(silent_hosts.end())};
    entry.received_at = received_at;
}

void suspicion::remove_observer(const host_id& observer) {
    m_reports.erase(observer);
}

bool suspicion::is_suspected(const host_id& subject, time_point now) const {
    std::set<failure_domain_id> silent_domains;
    std::set<failure_domain_id> hearing_domains;
    for (const auto& [observer, entry] : m_reports) {
        if (observer == subject || now - entry.received_at > m_options.report_lifetime)
            continue;
        const bool silent = entry.silent_hosts.contains(subject);
        (silent ? silent_domains : hearing_domains).insert(entry.domain);
    }

    std::size_t agreeing = 0;
    for (const failure_domain_id& domain : silent_domains)
        agreeing += hearing_domains.contains(domain) ? 0 : 1;
    return agreeing >= m_options.required_failure_domains;
}

} // namespace ragworthinge
