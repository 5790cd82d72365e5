#include "steering/request_dispatcher.h"

#include <algorithm>
#include <utility>

namespace ragworthinge {

namespace {

/// Time until the response to a request that is sent now.
duration expected_time(const placement& placed) {
    return placed.expected_wait + placed.expected_processing + placed.distance;
}

} // namespace

request_dispatcher::request_dispatcher(request_dispatcher_options options, fleet_state& fleet,
                                       fleet_membership& membership)
    : m_options(std::move(options)), m_fleet(fleet), m_membership(membership), m_placements(m_options.placement) {}

dispatch_decision request_dispatcher::refuse(const char* reason, duration retry_after) const {
    dispatch_decision decision;
    decision.type = dispatch_decision::kind::refuse;
    decision.reason = reason;
    decision.retry_after = std::max(retry_after, m_options.min_retry_after);
    return decision;
}

dispatch_decision request_dispatcher::refuse_for_stop() const {
    // Other hosts are not affected, so the caller need not wait for capacity.
    return refuse("this host is stopping", m_options.min_retry_after);
}

bool request_dispatcher::can_be_answered_here(const dispatch_request& request, duration expected,
                                              time_point now) const {
    return !m_stop || m_stop->allows(request.placement.answer_by, expected, now);
}

void request_dispatcher::begin_stop(const stop_plan& plan, time_point now) {
    m_stop = plan;
    serve_waiting(now);
}

double request_dispatcher::room_share(const placement_request& request) const {
    // Lets a host serve its first bound requests before its reports have reached the others.
    constexpr double equal_fraction = 0.1;
    const double equal_share = 1 / static_cast<double>(m_membership.size());
    const auto found =
        m_demand_shares.find(request.account_regions == nullptr ? std::vector<region_id>() : *request.account_regions);
    if (found == m_demand_shares.end())
        return equal_share;
    return equal_fraction * equal_share + (1 - equal_fraction) * found->second;
}

std::shared_ptr<regional_room> request_dispatcher::room_of(const placement_request& request, const placement& placed,
                                                           time_point now) {
    auto regions = allowed_regions(*request.route, request.account_regions);
    if (!regions)
        return nullptr;
    std::shared_ptr<regional_room>& room = m_rooms[{request.service, std::move(*regions)}];
    if (room == nullptr)
        room = std::make_shared<regional_room>();
    room->update(
        {.own_slots = placed.slots * room_share(request), .load = placed.requests / std::max(1.0, placed.slots)}, now);
    return room;
}

std::map<region_id, double> request_dispatcher::scarce_regions(const placement_request& request, time_point now) const {
    std::map<region_id, double> scarce;
    if (m_rooms.empty())
        return scarce;
    const auto own = allowed_regions(*request.route, request.account_regions);
    for (auto entry = m_rooms.lower_bound({request.service, {}});
         entry != m_rooms.end() && entry->first.first == request.service; ++entry) {
        const std::vector<region_id>& regions = entry->first.second;
        const bool has_more = !own || (own->size() > regions.size() &&
                                       std::includes(own->begin(), own->end(), regions.begin(), regions.end()));
        const double refused = has_more ? entry->second->refused_fraction(now) : 0;
        for (const region_id& region : regions) {
            if (refused > 0)
                scarce[region] = std::max(scarce[region], refused);
        }
    }
    return scarce;
}

placement request_dispatcher::place(const placement_request& request, time_point now) {
    placement placed;
    if (std::map<region_id, double> scarce = scarce_regions(request, now); scarce.empty()) {
        placed = m_placements.choose(request, m_fleet, m_membership, m_processing_times, now);
    } else {
        placement_request wanted = request;
        wanted.scarce_regions = std::move(scarce);
        placed = m_placements.choose(wanted, m_fleet, m_membership, m_processing_times, now);
    }
    placed.room = room_of(request, placed, now);
    return placed;
}

bool request_dispatcher::has_room(const dispatch_request& request, const placement& placed, time_point now) {
    if (placed.room == nullptr || !placed.room->is_short())
        return true;
    // In a shortage a request that would only reach its time limit takes the room of others.
    return placed.room->may_send(request.account, now) && now + expected_time(placed) <= request.placement.answer_by;
}

double request_dispatcher::own_slots(const service_id& service) const {
    double slots = 0;
    for (const auto& upstream : m_fleet.upstreams_of(service))
        slots += upstream->description().slots;
    // Each host receives about an equal share of the slots that become free.
    return std::max(1.0, slots / static_cast<double>(m_membership.size()));
}

dispatch_decision request_dispatcher::refuse_overloaded(const char* reason, const dispatch_request& request,
                                                        duration earliest, time_point now) {
    const processing_time typical =
        m_processing_times.estimate(request.placement.route->name, request.placement.route->target_latency);
    const double retry_slots = own_slots(request.placement.service) * m_options.retry_slot_fraction;
    time_point& last = m_last_retry_times[request.placement.service];
    last = std::max(last + std::chrono::duration_cast<duration>(typical.known_object / retry_slots),
                    now + std::max(earliest, m_options.min_retry_after));
    last = std::min(last, now + m_options.max_retry_after);
    dispatch_decision refusal = refuse(reason, last - now);
    refusal.expected_wait = earliest;
    return refusal;
}

dispatch_decision request_dispatcher::refuse_unusable(const placement& placed, const dispatch_request& request,
                                                      time_point now) {
    if (!placed.quiet_until)
        return refuse("no upstream is usable", m_options.min_retry_after);
    const duration quiet_time = *placed.quiet_until - now;
    dispatch_decision refusal = refuse_overloaded("all usable upstreams asked for quiet", request, quiet_time, now);
    // An earlier return would be refused again, so the maximum of other refusals does not apply.
    refusal.retry_after = std::max(refusal.retry_after, quiet_time);
    return refusal;
}

duration request_dispatcher::expected_queue_wait(const dispatch_request& request) const {
    const auto queue = m_queues.find(request.placement.service);
    const std::size_t ahead = queue == m_queues.end() ? 0 : queue->second.count_ahead_of(request.priority);
    const processing_time typical =
        m_processing_times.estimate(request.placement.route->name, request.placement.route->target_latency);
    return std::chrono::duration_cast<duration>(
        typical.known_object * (static_cast<double>(ahead + 1) / own_slots(request.placement.service)));
}

dispatch_decision request_dispatcher::decide(const dispatch_request& request, time_point now) {
    dispatch_decision decision;
    decision.placed = place(request.placement, now);
    regional_room* const room = decision.placed.room.get();
    if (room != nullptr && request.placement.tried.empty())
        room->record_demand(request.account, now);
    const processing_time typical =
        m_processing_times.estimate(request.placement.route->name, request.placement.route->target_latency);
    switch (decision.placed.kind) {
    case placement_kind::send:
        if (!has_room(request, decision.placed, now)) {
            room->record_decision(true, now);
            return refuse("the allowed regions are short of room", room->expected_wait(now));
        }
        if (room != nullptr)
            room->record_decision(false, now);
        if (!can_be_answered_here(request, expected_time(decision.placed), now))
            return refuse_for_stop();
        decision.type = dispatch_decision::kind::send;
        return decision;
    case placement_kind::too_late:
        return refuse_overloaded("no upstream can answer in time", request, decision.placed.expected_wait, now);
    case placement_kind::no_upstream:
        return refuse_unusable(decision.placed, request, now);
    case placement_kind::wait:
        break;
    }
    decision.expected_wait = expected_queue_wait(request);
    if (now + decision.expected_wait + typical.known_object > request.placement.answer_by)
        return refuse_overloaded("cold upstreams are at their rate limit for too long", request, decision.expected_wait,
                                 now);
    if (!can_be_answered_here(request, decision.expected_wait + typical.known_object, now))
        return refuse_for_stop();
    decision.type = dispatch_decision::kind::wait;
    return decision;
}

void request_dispatcher::enqueue(waiting_ticket ticket, dispatch_request request, time_point now,
                                 outcome_handler on_outcome) {
    const processing_time typical =
        m_processing_times.estimate(request.placement.route->name, request.placement.route->target_latency);
    m_queues[request.placement.service].push({.ticket = ticket,
                                              .priority = request.priority,
                                              .account = request.account,
                                              .arrived_at = now,
                                              .target_at = request.target_at,
                                              .latest_start = request.placement.answer_by - typical.known_object,
                                              .min_processing = typical.known_object});
    m_waiting.emplace(ticket, waiting_entry{std::move(request), std::move(on_outcome)});
}

bool request_dispatcher::cancel(waiting_ticket ticket) {
    const auto found = m_waiting.find(ticket);
    if (found == m_waiting.end())
        return false;
    m_queues[found->second.request.placement.service].remove(ticket);
    m_waiting.erase(found);
    return true;
}

void request_dispatcher::serve_waiting(time_point now) {
    for (auto& [service, queue] : m_queues) {
        for (const waiting_ticket ticket : queue.order(now)) {
            const auto found = m_waiting.find(ticket);
            if (found == m_waiting.end())
                continue;
            waiting_entry& entry = found->second;
            dispatch_decision decision;
            decision.placed = place(entry.request.placement, now);
            const processing_time typical = m_processing_times.estimate(entry.request.placement.route->name,
                                                                        entry.request.placement.route->target_latency);
            const duration expected =
                decision.placed.kind == placement_kind::send ? expected_time(decision.placed) : typical.known_object;
            if (!can_be_answered_here(entry.request, expected, now))
                decision = refuse_for_stop();
            else if (decision.placed.kind == placement_kind::send)
                decision.type = dispatch_decision::kind::send;
            else if (decision.placed.kind == placement_kind::wait &&
                     now + typical.known_object <= entry.request.placement.answer_by)
                continue;
            else if (decision.placed.kind == placement_kind::no_upstream)
                decision = refuse_unusable(decision.placed, entry.request, now);
            else
                decision = refuse_overloaded("no upstream took the request in time", entry.request,
                                             m_options.min_retry_after, now);
            if (decision.type == dispatch_decision::kind::send)
                queue.record_slot(entry.request.account, now);
            const outcome_handler on_outcome = std::move(entry.on_outcome);
            queue.remove(ticket);
            m_waiting.erase(found);
            // The handler starts the attempt, so that the next choice includes its load.
            on_outcome(ticket, decision);
        }
    }
}

} // namespace ragworthinge
