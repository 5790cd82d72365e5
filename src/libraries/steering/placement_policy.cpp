#include "steering/placement_policy.h"

#include "membership/rendezvous_hash.h"

#include <algorithm>

namespace ragworthinge {

namespace {

duration scale(duration time, double factor) {
    return std::chrono::duration_cast<duration>(time * factor);
}

bool contains_region(const std::vector<region_id>& regions, const region_id& region) {
    return regions.empty() || std::find(regions.begin(), regions.end(), region) != regions.end();
}

double slots_of(const observed_upstream& upstream) {
    return static_cast<double>(std::max(1U, upstream.description().slots));
}

/// Whether upstreams are ranked and compared by the object of the request.
bool is_by_object(const placement_request& request) {
    return request.route->prefers_known_object && request.object.has_value();
}

} // namespace

std::uint64_t object_hash(const steering_route& route, std::string_view affinity) {
    return rendezvous_score(route.name, affinity);
}

void placement_policy::record_distance(const region_id& region, duration round_trip) {
    constexpr double newest_weight = 0.3;
    const auto [entry, created] = m_distances.try_emplace(region, round_trip);
    if (!created)
        entry->second += scale(round_trip - entry->second, newest_weight);
}

duration placement_policy::distance_to(const region_id& region) const {
    const auto found = m_distances.find(region);
    if (found != m_distances.end())
        return found->second;
    return region == m_options.own_region ? duration::zero() : m_options.initial_region_distance;
}

bool placement_policy::is_allowed(const observed_upstream& upstream, const placement_request& request) const {
    const upstream_id& id = upstream.description().id;
    return std::find(request.tried.begin(), request.tried.end(), id) == request.tried.end() &&
           contains_region(request.route->allowed_regions, upstream.region()) &&
           (request.account_regions == nullptr || contains_region(*request.account_regions, upstream.region()));
}

bool placement_policy::wants_local_copy(const placement& best, const processing_time& typical,
                                        const placement_request& request, time_point now) const {
    return best.knows_object && best.upstream->region() != m_options.own_region &&
           typical.answer_bytes >= m_options.local_copy_bytes &&
           now - m_last_local_copy >= m_options.local_copy_pause &&
           now + scale(typical.unknown_object, m_options.local_copy_margin) <= request.answer_by;
}

duration placement_policy::transfer_cost(const processing_time& typical) const {
    return scale(m_options.kilobyte_transfer_cost, typical.answer_bytes / 1000);
}

bool placement_policy::is_regional(const processing_time& typical) const {
    return transfer_cost(typical) > scale(typical.unknown_object, m_options.rank_cost);
}

bool placement_policy::is_known_to_sound_upstream(const candidate_list& list, const placement_request& request,
                                                  const processing_time& typical, time_point now) const {
    return is_by_object(request) && std::any_of(list.ranked.begin(), list.ranked.end(), [&](const candidate& each) {
               const observed_upstream& upstream = *each.upstream;
               return upstream.knows_object(*request.object) &&
                      scale(typical.known_object, upstream.slowdown(now)) +
                              scale(typical.unknown_object, m_options.failure_weight * upstream.failure_ratio(now)) <
                          typical.unknown_object;
           });
}

placement_policy::candidate_list placement_policy::list_candidates(const placement_request& request,
                                                                   const fleet_state& fleet,
                                                                   const fleet_membership& membership,
                                                                   time_point now) const {
    const steering_service* service = fleet.table()->find_service(request.service);
    const double cold_rate = service == nullptr ? 0 : service->cold_requests_per_second;
    const std::string ranking_key = is_by_object(request) ? std::to_string(*request.object) : request.service;

    candidate_list list;
    for (auto& upstream : fleet.upstreams_of(request.service)) {
        if (!upstream->is_usable_except_quiet(now) || !is_allowed(*upstream, request))
            continue;
        if (upstream->is_quiet(now)) {
            list.quiet_until = std::min(list.quiet_until.value_or(time_point::max()), upstream->quiet_until());
            continue;
        }
        if (!m_cold_start_limiter.allows(*upstream, cold_rate, membership, now)) {
            list.any_rate_limited = true;
            continue;
        }
        const std::uint64_t score = rendezvous_score(ranking_key, upstream->description().id);
        list.ranked.push_back({std::move(upstream), score});
    }
    std::sort(list.ranked.begin(), list.ranked.end(),
              [](const candidate& left, const candidate& right) { return left.score > right.score; });
    return list;
}

void placement_policy::count_region_hosts(const fleet_membership& membership, time_point now) {
    if (m_region_hosts_counted_at && now - *m_region_hosts_counted_at < m_options.region_count_interval)
        return;
    m_region_hosts_counted_at = now;
    const std::vector<entry_host> peers = membership.peers();
    m_region_hosts =
        1 + static_cast<std::size_t>(std::count_if(peers.begin(), peers.end(), [&](const entry_host& peer) {
            return peer.region == m_options.own_region;
        }));
}

std::size_t placement_policy::wanted_copies(const candidate_list& list, const placement_request& request,
                                            const processing_time& typical, time_point now) const {
    if (!is_by_object(request) || list.ranked.empty())
        return 1;
    return m_copies.wanted_copies(*request.object,
                                  {.hosts = m_region_hosts,
                                   .known_processing = typical.known_object,
                                   .slots = list.ranked.front().upstream->description().slots},
                                  now);
}

bool placement_policy::is_wanted_copy(const placement& best, const placement& copy, const placement_request& request,
                                      time_point now) const {
    if (copy.upstream == nullptr || !best.knows_object || !m_copies.may_load(*request.object, now))
        return false;
    const auto meets_target = [&](const placement& option) {
        return option.distance + option.expected_wait + option.expected_processing <= request.route->target_latency;
    };
    return meets_target(copy) || !meets_target(best);
}

placement placement_policy::evaluate_upstream(const std::shared_ptr<observed_upstream>& upstream,
                                              const placement_request& request, const processing_time& typical,
                                              time_point now) const {
    const double slots = slots_of(*upstream);
    const double ahead = std::max(0.0, upstream->load() - slots + 1);
    const double factor = upstream->slowdown(now) * (upstream->is_cold(now) ? m_options.cold_processing_factor : 1);
    const bool by_object = is_by_object(request);
    placement option;
    option.kind = placement_kind::send;
    option.upstream = upstream;
    option.load = upstream->load();
    option.knows_object = by_object && upstream->knows_object(*request.object);
    option.distance = distance_to(upstream->region());
    option.expected_wait = scale(upstream->average_expected_processing(typical.known_object), factor * ahead / slots);
    option.expected_processing =
        scale(option.knows_object || !by_object ? typical.known_object : typical.unknown_object, factor);

    // On a free slot the request delays no other, and the upstream may know the object after all. Behind other requests
    // it would delay them and time out.
    const bool is_free = upstream->load() < slots;
    const duration needed =
        is_free ? scale(typical.known_object, factor) : option.expected_wait + option.expected_processing;
    if (now + option.distance + needed > request.answer_by)
        option.kind = placement_kind::too_late;
    return option;
}

duration placement_policy::cost_of(const placement& option, const placement_request& request,
                                   const processing_time& typical, std::size_t rank, std::size_t wanted,
                                   time_point now) const {
    const observed_upstream& upstream = *option.upstream;
    const bool by_object = is_by_object(request);
    const double rank_cost = option.knows_object ? m_options.known_rank_cost : m_options.rank_cost;
    const double penalty = m_options.failure_weight * upstream.failure_ratio(now) +
                           (by_object ? rank_cost * static_cast<double>(rank) : 0);
    duration cost = option.distance + option.expected_wait + scale(typical.unknown_object, penalty);
    if (upstream.region() != m_options.own_region)
        cost += m_options.region_transfer_cost + transfer_cost(typical);
    if (const auto scarce = request.scarce_regions.find(upstream.region()); scarce != request.scarce_regions.end())
        cost += scale(typical.unknown_object, m_options.scarce_region_weight * scarce->second);
    if (m_is_connected && !m_is_connected(upstream.description().id, *request.route))
        cost += option.distance + m_options.new_connection_cost;
    // An upstream that has joined receives the objects that rank it first; otherwise it would receive none, since all
    // objects are known elsewhere.
    const bool gets_first_object =
        by_object && upstream.known_objects() == 0 && rank == 0 && upstream.load() < slots_of(upstream);
    if (gets_first_object)
        return cost + typical.known_object / 2;
    if (option.knows_object && wanted > 1)
        cost += scale(typical.known_object,
                      m_options.copy_load_weight * std::min(1.0, upstream.load() / slots_of(upstream)));
    if (option.knows_object || !by_object)
        return cost + option.expected_processing;
    const bool is_copy_for_region = is_regional(typical) && upstream.region() == m_options.own_region;
    return cost + scale(option.expected_processing,
                        is_copy_for_region ? m_options.regional_copy_weight : m_options.unknown_object_weight);
}

placement placement_policy::choose(const placement_request& request, const fleet_state& fleet,
                                   const fleet_membership& membership, processing_time_estimator& processing_times,
                                   time_point now) {
    const processing_time typical = processing_times.estimate(request.route->name, request.route->target_latency);
    const candidate_list list = list_candidates(request, fleet, membership, now);
    placement best;
    placement local_option;
    std::optional<duration> best_cost;
    bool any_too_late = false;
    // Objects whose responses are expensive to transfer are cached in each region, so each region has its own ranking.
    const bool by_region = is_regional(typical);
    const bool is_known = is_known_to_sound_upstream(list, request, typical, now);
    count_region_hosts(membership, now);
    const std::size_t wanted = wanted_copies(list, request, typical, now);
    std::size_t known_copies = 0;
    placement further_copy;
    std::map<region_id, std::size_t> next_ranks;
    for (std::size_t place = 0; place < list.ranked.size(); ++place) {
        const auto& upstream = list.ranked[place].upstream;
        const bool is_own_region = upstream->region() == m_options.own_region;
        const bool knows_object = is_by_object(request) && upstream->knows_object(*request.object);
        std::size_t rank = by_region ? next_ranks[upstream->region()]++ : place;
        // The copies of a popular object are used alike, whatever upstreams rank between them.
        if (knows_object && wanted > 1)
            rank = known_copies < wanted ? 0 : rank;
        known_copies += knows_object ? 1 : 0;
        // Another copy on a busy upstream would occupy a slot for several times as long and displace other objects.
        const bool is_additional_copy = is_known && !knows_object;
        if (is_additional_copy && upstream->load() >= slots_of(*upstream)) {
            any_too_late = true;
            continue;
        }
        const placement option = evaluate_upstream(upstream, request, typical, now);
        if (option.kind == placement_kind::too_late) {
            any_too_late = true;
            continue;
        }
        const bool is_local = is_own_region && upstream->load() < slots_of(*upstream);
        if (local_option.upstream == nullptr && is_by_object(request) && is_local && !upstream->is_cold(now))
            local_option = option;
        if (is_additional_copy && further_copy.upstream == nullptr && !upstream->is_cold(now))
            further_copy = option;
        const duration cost = cost_of(option, request, typical, rank, wanted, now);
        if (best_cost && cost >= *best_cost)
            continue;
        best_cost = cost;
        best = option;
    }
    if (best_cost && local_option.upstream != nullptr && wants_local_copy(best, typical, request, now)) {
        m_last_local_copy = now;
        best = local_option;
    }
    if (best_cost && known_copies < wanted && is_wanted_copy(best, further_copy, request, now)) {
        m_copies.record_load(*request.object, now);
        best = further_copy;
    }
    if (best_cost && is_by_object(request) && request.tried.empty())
        m_copies.record_request(*request.object, now);
    best.candidates = list.ranked.size();
    for (const candidate& each : list.ranked) {
        best.slots += slots_of(*each.upstream);
        best.requests += std::min(each.upstream->load(), 2 * slots_of(*each.upstream));
    }
    best.quiet_until = list.quiet_until;
    if (!best_cost && list.any_rate_limited)
        best.kind = placement_kind::wait;
    else if (!best_cost)
        best.kind = any_too_late ? placement_kind::too_late : placement_kind::no_upstream;
    return best;
}

} // namespace ragworthinge
