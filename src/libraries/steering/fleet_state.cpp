#include "steering/fleet_state.h"

#include <algorithm>
#include <utility>

namespace ragworthinge {

change_effect fleet_state::apply(const fleet_change& change, time_point now) {
    return std::visit([&](const auto& one) { return apply_one(one, now); }, change);
}

void fleet_state::confirm(store_position position, time_point now) noexcept {
    m_position = std::max(m_position, position);
    m_confirmed_at = now;
}

region_id fleet_state::region_of(const failure_domain_id& domain) const {
    const auto found = m_options.regions.find(domain);
    return found == m_options.regions.end() ? region_id() : found->second;
}

bool fleet_state::is_outdated(const upstream_description& description, time_point now) const {
    const auto found = m_announcements.find(description.id);
    if (found == m_announcements.end())
        return false;
    const last_announcement& last = found->second;
    // Without start times, a restarted upstream that counts anew cannot be told from an earlier announcement.
    const bool is_comparable = description.started_at != 0 && last.started_at != 0;
    if (!is_comparable || now - last.changed_at >= m_options.late_write_time)
        return false;
    if (description.started_at != last.started_at)
        return description.started_at < last.started_at;
    // A removed entry does not return with an announcement that was applied before.
    return description.sequence < last.sequence || (last.is_withdrawn && description.sequence == last.sequence);
}

void fleet_state::record_announcement(const upstream_description& description, time_point now) {
    last_announcement& last = m_announcements[description.id];
    if (last.started_at != description.started_at)
        last = {};
    last.started_at = description.started_at;
    last.sequence = description.sequence;
    last.changed_at = now;
    last.is_withdrawn = false;
}

void fleet_state::restore_request_ban(observed_upstream& upstream) const {
    const auto last = m_announcements.find(upstream.description().id);
    if (last == m_announcements.end() || last->second.started_at != upstream.description().started_at)
        return;
    if (last->second.is_leaving)
        upstream.mark_leaving();
    upstream.mark_quiet(last->second.quiet_until);
}

void fleet_state::record_withdrawal(const upstream_id& id, time_point now) {
    if (const auto last = m_announcements.find(id); last != m_announcements.end()) {
        last->second.changed_at = now;
        last->second.is_withdrawn = true;
        if (const auto upstream = find_upstream(id)) {
            last->second.is_leaving = upstream->is_leaving();
            last->second.quiet_until = upstream->quiet_until();
        }
    }
}

change_effect fleet_state::apply_one(const upstream_announced& change, time_point now) {
    const upstream_description& description = change.description;
    if (is_outdated(description, now))
        return change_effect::outdated;
    record_announcement(description, now);
    auto& state = m_upstreams[description.id];
    const region_id region = region_of(description.failure_domain);
    if (state == nullptr) {
        state = std::make_shared<observed_upstream>(description, region, now, m_options.upstreams);
        restore_request_ban(*state);
        return change_effect::applied;
    }
    const upstream_description& known = state->description();
    const bool differs = known.is_draining != description.is_draining || known.started_at != description.started_at ||
                         known.address != description.address || known.service != description.service ||
                         state->is_lapsed() || state->is_replaced();
    state->announce(description, region, now);
    return differs ? change_effect::applied : change_effect::unchanged;
}

change_effect fleet_state::apply_one(const upstream_withdrawn& change, time_point now) {
    record_withdrawal(change.id, now);
    return m_upstreams.erase(change.id) > 0 ? change_effect::applied : change_effect::unchanged;
}

change_effect fleet_state::apply_one(const host_announced& change, time_point /*now*/) {
    const auto found = m_hosts.find(change.host.name);
    const bool same = found != m_hosts.end() && found->second.incarnation == change.host.incarnation;
    m_hosts[change.host.name] = change.host;
    return same ? change_effect::unchanged : change_effect::applied;
}

change_effect fleet_state::apply_one(const host_withdrawn& change, time_point /*now*/) {
    return m_hosts.erase(change.name) > 0 ? change_effect::applied : change_effect::unchanged;
}

change_effect fleet_state::apply_one(const evacuation_changed& change, time_point /*now*/) {
    if (change.is_evacuated)
        return m_evacuated.insert(change.failure_domain).second ? change_effect::applied : change_effect::unchanged;
    return m_evacuated.erase(change.failure_domain) > 0 ? change_effect::applied : change_effect::unchanged;
}

change_effect fleet_state::apply_one(const configuration_submitted& change, time_point /*now*/) {
    if (m_table != nullptr) {
        const std::int64_t current = m_table->configuration().version;
        if (change.configuration.version == current)
            return change_effect::unchanged;
        if (change.configuration.version < current)
            return change_effect::outdated;
    }
    m_table = std::make_shared<const steering_table>(change.configuration);
    return change_effect::applied;
}

void fleet_state::mark_lapsed(const upstream_id& id, time_point return_time) {
    if (const auto found = m_upstreams.find(id); found != m_upstreams.end())
        found->second->mark_lapsed(return_time);
    if (const auto last = m_announcements.find(id); last != m_announcements.end())
        last->second.changed_at = std::max(last->second.changed_at, return_time);
}

std::vector<upstream_id> fleet_state::drop_expired(time_point now) {
    std::erase_if(m_announcements, [&](const auto& entry) {
        const last_announcement& last = entry.second;
        const bool has_ban = last.is_leaving || last.quiet_until > now;
        return last.is_withdrawn &&
               now - last.changed_at >= (has_ban ? m_options.request_ban_memory : m_options.late_write_time);
    });
    std::vector<upstream_id> dropped;
    for (auto entry = m_upstreams.begin(); entry != m_upstreams.end();) {
        if (entry->second->is_expired(now)) {
            dropped.push_back(entry->first);
            record_withdrawal(entry->first, now);
            entry = m_upstreams.erase(entry);
        } else {
            ++entry;
        }
    }
    return dropped;
}

std::shared_ptr<observed_upstream> fleet_state::find_upstream(const upstream_id& id) const {
    const auto found = m_upstreams.find(id);
    return found == m_upstreams.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<observed_upstream>> fleet_state::upstreams_of(const service_id& service) const {
    std::vector<std::shared_ptr<observed_upstream>> matching;
    for (const auto& [id, state] : m_upstreams) {
        if (state->description().service == service && !is_evacuated(state->description().failure_domain))
            matching.push_back(state);
    }
    return matching;
}

} // namespace ragworthinge
