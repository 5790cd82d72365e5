#include "membership/member_view.h"

#include "membership/rendezvous_hash.h"

#include <algorithm>
#include <utility>

namespace ragworthinge {

member_view::member_view(host_id self, region_id region, failure_domain_id failure_domain, incarnation run,
                         member_view_options options)
    : m_self(std::move(self)), m_region(std::move(region)), m_failure_domain(std::move(failure_domain)), m_run(run),
      m_options(options), m_suspicion(options.suspicion_limits) {}

void member_view::start_run(record& entry, incarnation run) const {
    if (entry.heard)
        entry.earlier_incarnations.push_back(entry.incarnation);
    if (entry.earlier_incarnations.size() > m_options.remembered_incarnations)
        entry.earlier_incarnations.pop_front();
    entry.incarnation = run;
    entry.leaving = false;
}

void member_view::apply(const heartbeat& message, time_point now) {
    if (message.host == m_self)
        return;

    record& entry = m_records[message.host];
    // Incarnations are random numbers, so only the memory of earlier runs tells a late heartbeat from a restart.
    const auto& earlier = entry.earlier_incarnations;
    if (std::find(earlier.begin(), earlier.end(), message.incarnation) != earlier.end())
        return;

    if (!entry.heard || entry.incarnation != message.incarnation)
        start_run(entry, message.incarnation);
    entry.heard = true;
    entry.region = message.region;
    entry.failure_domain = message.failure_domain;
    entry.leaving = entry.leaving || message.leaving;
    entry.last_heard = now;
    entry.latest_heartbeat = message;

    if (is_fenced(entry, message.host))
        m_suspicion.remove_observer(message.host);
    else
        m_suspicion.report(message.host, message.failure_domain, message.silent_hosts, now);
}

void member_view::apply(const std::vector<listed_host>& list, time_point now) {
    for (auto& [host, entry] : m_records) {
        entry.delisted = entry.delisted || entry.listed.has_value();
        entry.listed.reset();
    }

    for (const listed_host& item : list) {
        if (item.host == m_self)
            continue;
        const auto [position, added] = m_records.try_emplace(item.host);
        record& entry = position->second;
        entry.listed = item;
        entry.delisted = false;
        if (added)
            entry.last_heard = now;
        if (entry.heard)
            continue;
        entry.region = item.region;
        entry.failure_domain = item.failure_domain;
    }
}

void member_view::apply(const region_page& page) {
    const auto [position, added] = m_pages.try_emplace(page.region, page);
    if (!added && page.revision > position->second.revision)
        position->second = page;
    for (const page_member& item : position->second.members) {
        const auto known = m_records.find(item.host);
        if (known != m_records.end() && is_fenced(known->second, item.host))
            m_suspicion.remove_observer(item.host);
    }
}

void member_view::tick(time_point now) {
    m_suspicion.report(m_self, m_failure_domain, silent_hosts(now), now);
    std::erase_if(m_records, [&](const auto& item) {
        const auto& [host, entry] = item;
        const bool expired = now - entry.last_heard > m_options.gone_retention;
        if (!expired || entry.listed || state_of(host, entry, now) == member_state::live)
            return false;
        m_suspicion.remove_observer(host);
        return true;
    });
}

bool member_view::is_fenced(const record& entry, const host_id& host) const noexcept {
    const auto page = m_pages.find(entry.region);
    if (page == m_pages.end() || !entry.heard)
        return false;
    const page_member* item = find_member(page->second, host, entry.incarnation);
    return item != nullptr && item->state == page_member_state::fenced;
}

bool member_view::is_listed_as_leaving(const record& entry) const noexcept {
    if (!entry.listed || !entry.listed->leaving)
        return false;
    const auto& listed_run = entry.listed->incarnation;
    return !listed_run || !entry.heard || *listed_run == entry.incarnation;
}

member_state member_view::state_of(const host_id& host, const record& entry, time_point now) const {
    if (is_fenced(entry, host))
        return member_state::fenced;

    const bool silent = now - entry.last_heard >= m_options.suspicion_limits.silence_limit;
    // The platform's removal of a host counts like a second observer: without it a region with two hosts that is cut
    // off from the others could never replace a dead one.
    if (silent && (entry.leaving || entry.delisted))
        return member_state::gone;
    const bool suspected = silent && m_suspicion.is_suspected(host, now);
    if (suspected && is_listed_as_leaving(entry))
        return member_state::gone;
    if (suspected)
        return member_state::suspected;
    if (entry.leaving || is_listed_as_leaving(entry))
        return member_state::leaving;
    return member_state::live;
}

member_state member_view::own_state() const noexcept {
    const auto page = m_pages.find(m_region);
    if (page != m_pages.end()) {
        const page_member* item = find_member(page->second, m_self, m_run);
        if (item != nullptr && item->state == page_member_state::fenced)
            return member_state::fenced;
    }
    return m_self_leaving ? member_state::leaving : member_state::live;
}

member member_view::describe(const host_id& host, const record& entry, time_point now) const {
    member result;
    result.host = host;
    result.incarnation = entry.incarnation;
    result.region = entry.region;
    result.failure_domain = entry.failure_domain;
    result.state = state_of(host, entry, now);
    if (entry.heard)
        result.silence = now - entry.last_heard;
    result.latest_heartbeat = entry.latest_heartbeat;
    return result;
}

member member_view::describe_self() const {
    member result;
    result.host = m_self;
    result.incarnation = m_run;
    result.region = m_region;
    result.failure_domain = m_failure_domain;
    result.state = own_state();
    return result;
}

std::vector<member> member_view::members(time_point now) const {
    std::vector<member> all;
    all.reserve(m_records.size() + 1);
    all.push_back(describe_self());
    for (const auto& [host, entry] : m_records)
        all.push_back(describe(host, entry, now));
    std::sort(all.begin(), all.end(), [](const member& left, const member& right) { return left.host < right.host; });
    return all;
}

std::optional<member> member_view::find(const host_id& host, time_point now) const {
    if (host == m_self)
        return describe_self();
    const auto position = m_records.find(host);
    if (position == m_records.end())
        return std::nullopt;
    return describe(host, position->second, now);
}

std::vector<host_id> member_view::hosts_in(const region_id& region, member_state state, time_point now) const {
    std::vector<host_id> hosts;
    if (region == m_region && own_state() == state)
        hosts.push_back(m_self);
    for (const auto& [host, entry] : m_records) {
        if (entry.region == region && state_of(host, entry, now) == state)
            hosts.push_back(host);
    }
    std::sort(hosts.begin(), hosts.end());
    return hosts;
}

std::optional<host_id> member_view::dispatcher_for(const service_id& service, const region_id& region,
                                                   time_point now) const {
    return highest_ranked_host(dispatcher_key(service, region), hosts_in(region, member_state::live, now));
}

std::vector<host_id> member_view::silent_hosts(time_point now) const {
    std::vector<host_id> hosts;
    for (const auto& [host, entry] : m_records) {
        if (now - entry.last_heard >= m_options.suspicion_limits.silence_limit)
            hosts.push_back(host);
    }
    return hosts;
}

} // namespace ragworthinge
