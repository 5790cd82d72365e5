#include "routing/lookup_planner.h"

#include "membership/rendezvous_hash.h"

#include <algorithm>
#include <cmath>

namespace ragworthinge {

namespace {

/// Score of a region for a client in weighted rendezvous hashing; the client uses the region with the highest score.
/// When the fraction of one region grows, clients move only to that region. Mapping clients to consecutive intervals of
/// hash values would also move clients between other regions.
double weighted_score(std::string_view client, const region_id& region, double fraction) noexcept {
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
    const auto bits = static_cast<double>(rendezvous_score(client, region) >> 11U);
    const double uniform = (bits + 0.5) * scale;
    return fraction / -std::log(uniform);
}

} // namespace

lookup_planner::lookup_planner(lookup_planner_options options) : m_options(options) {}

void lookup_planner::set_live_hosts(const region_id& region, std::vector<host_id> hosts) {
    m_live_hosts[region] = std::move(hosts);
}

bool lookup_planner::has_live_hosts(const region_id& region) const {
    const auto found = m_live_hosts.find(region);
    return found != m_live_hosts.end() && !found->second.empty();
}

void lookup_planner::set_target(std::string_view site, std::span<const region_fraction> region_fractions,
                                time_point now) {
    const auto found = m_sites.find(site);
    site_state& state = found == m_sites.end() ? m_sites[std::string(site)] : found->second;
    state.target.clear();
    for (const region_fraction& item : region_fractions)
        state.target[item.region] += item.fraction;
    if (found != m_sites.end())
        return;
    state.current = state.target;
    state.changed_at = now;
}

void lookup_planner::step_towards_target(site_state& state, time_point now) const {
    if (now - state.changed_at < m_options.ttl)
        return;
    double total_increase = 0;
    for (const auto& [region, fraction] : state.target)
        total_increase += std::max(0.0, fraction - state.current[region]);
    if (total_increase <= 0)
        return;

    // With two regions, exactly the moved fraction of the clients changes its region. With a third, clients also move
    // from and to it: at most twice the moved fraction (1.4 times was measured with fractions 0.7, 0.3 and 0).
    const auto regions_in_use = std::count_if(state.current.begin(), state.current.end(), [&](const auto& item) {
        return item.second > 0 || state.target.contains(item.first);
    });
    const double max_step = regions_in_use > 2 ? m_options.max_step / 2 : m_options.max_step;
    const double scale = std::min(1.0, max_step / total_increase);
    for (auto& [region, fraction] : state.current) {
        const auto target_fraction = state.target.find(region);
        fraction += scale * ((target_fraction == state.target.end() ? 0 : target_fraction->second) - fraction);
    }
    state.changed_at = now;
}

void lookup_planner::tick(time_point now) {
    for (auto& [site, state] : m_sites)
        step_towards_target(state, now);
    for (auto& [key, state] : m_answers)
        update_answer(key.first, key.second, state, now);
}

std::optional<region_id> lookup_planner::region_for(const site_state& state, std::string_view client) const {
    const region_id* best = nullptr;
    double best_score = 0;
    for (const auto& [region, fraction] : state.current) {
        if (fraction <= 0 || !has_live_hosts(region))
            continue;
        const double score = weighted_score(client, region, fraction);
        if (score <= best_score)
            continue;
        best = &region;
        best_score = score;
    }
    if (best != nullptr)
        return *best;

    // No target region of the site has live hosts; any other region is better than an empty answer.
    std::vector<region_id> others;
    for (const auto& [region, hosts] : m_live_hosts) {
        if (!hosts.empty())
            others.push_back(region);
    }
    return highest_ranked_host(client, others);
}

std::vector<host_id> lookup_planner::desired_hosts(const service_id& service, const region_id& region) const {
    const auto found = m_live_hosts.find(region);
    if (found == m_live_hosts.end())
        return {};
    std::vector<host_id> ranked = rank_hosts(dispatcher_key(service, region), found->second);
    ranked.resize(std::min(ranked.size(), m_options.hosts_per_answer));
    return ranked;
}

void lookup_planner::update_answer(const service_id& service, const region_id& region, answer_state& state,
                                   time_point now) const {
    const std::vector<host_id> desired = desired_hosts(service, region);
    const auto found = m_live_hosts.find(region);
    std::erase_if(state.hosts, [&](const host_id& host) {
        return found == m_live_hosts.end() ||
               std::find(found->second.begin(), found->second.end(), host) == found->second.end();
    });

    const auto is_in_answer = [&](const host_id& host) {
        return std::find(state.hosts.begin(), state.hosts.end(), host) != state.hosts.end();
    };
    // Missing hosts are filled up immediately, because this moves no client away from a working host.
    for (const host_id& host : desired) {
        if (state.hosts.size() < desired.size() && !is_in_answer(host))
            state.hosts.push_back(host);
    }

    const bool may_change = !state.changed_at || now - *state.changed_at >= m_options.ttl;
    const auto added = std::find_if_not(desired.begin(), desired.end(), is_in_answer);
    if (may_change && added != desired.end()) {
        const auto obsolete = std::find_if(state.hosts.rbegin(), state.hosts.rend(), [&](const host_id& host) {
            return std::find(desired.begin(), desired.end(), host) == desired.end();
        });
        if (obsolete != state.hosts.rend()) {
            *obsolete = *added;
            state.changed_at = now;
        }
    }

    // The dispatcher has the highest rank, so it comes first once it is in the answer; the others follow by rank.
    const auto rank = [&](const host_id& host) {
        return std::find(desired.begin(), desired.end(), host);
    };
    std::stable_sort(state.hosts.begin(), state.hosts.end(),
                     [&](const host_id& left, const host_id& right) { return rank(left) < rank(right); });
}

lookup_answer lookup_planner::answer(const service_id& service, std::string_view site, std::string_view client,
                                     time_point now) {
    lookup_answer result;
    result.ttl = m_options.ttl;
    const auto found = m_sites.find(site);
    const site_state unknown_site;
    const std::optional<region_id> region = region_for(found == m_sites.end() ? unknown_site : found->second, client);
    if (!region)
        return result;

    const auto [position, added] = m_answers.try_emplace({service, *region});
    if (added)
        update_answer(service, *region, position->second, now);
    result.hosts = position->second.hosts;
    return result;
}

double lookup_planner::fraction_of(std::string_view site, const region_id& region) const {
    const auto state = m_sites.find(site);
    if (state == m_sites.end())
        return 0;
    const auto fraction = state->second.current.find(region);
    return fraction == state->second.current.end() ? 0 : fraction->second;
}

} // namespace ragworthinge
