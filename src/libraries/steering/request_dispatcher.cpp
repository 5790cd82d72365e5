#include "steering/request_dispatcher.h"

#include <algorithm>
#include <utility>

namespace ragworthinge {

request_dispatcher::request_dispatcher(request_dispatcher_options options, fleet_state& fleet,
                                       fleet_membership& membership)
    : m_options(std::move(options)), m_fleet(fleet), m_membership(membership), m_placements(m_options.placement) {}

dispatch_decision request_dispatcher::refuse(const char* reason, duration retry_after) const {
    dispatch_decision decision;
    decision.type = dispatch_decision::kind::refuse;
    decision.reason = reason;
    decision.retry_after = std::max(retry_after, m_options.shortest_return);
    return decision;
}

double request_dispatcher::own_slots(const service_id& service) const {
    double slots = 0;
    for (const auto& upstream : m_fleet.upstreams_of(service))
        slots += upstream->facts().slots;
    // Each host receives about an equal share of the slots that become free.
    return std::max(1.0, slots / static_cast<double>(m_membership.size()));
}

dispatch_decision request_dispatcher::refuse_for_room(const char* reason, const dispatch_request& request,
                                                      duration earliest, time_point now) {
    const work_time typical = m_work.estimate(request.placement.route->name, request.placement.route->target_latency);
    const double returns_at_once = own_slots(request.placement.service) * m_options.returning_part;
    time_point& last = m_last_returns[request.placement.service];
    last = std::max(last + std::chrono::duration_cast<duration>(typical.known_object / returns_at_once),
                    now + std::max(earliest, m_options.shortest_return));
    last = std::min(last, now + m_options.longest_return);
    dispatch_decision refusal = refuse(reason, last - now);
    refusal.expected_wait = earliest;
    return refusal;
}

duration request_dispatcher::expected_line_wait(const dispatch_request& request) const {
    const auto line = m_lines.find(request.placement.service);
    const std::size_t ahead = line == m_lines.end() ? 0 : line->second.ahead_of(request.priority);
    const work_time typical = m_work.estimate(request.placement.route->name, request.placement.route->target_latency);
    return std::chrono::duration_cast<duration>(
        typical.known_object * (static_cast<double>(ahead + 1) / own_slots(request.placement.service)));
}

dispatch_decision request_dispatcher::decide(const dispatch_request& request, time_point now) {
    dispatch_decision decision;
    decision.placed = m_placements.choose(request.placement, m_fleet, m_membership, m_work, now);
    const work_time typical = m_work.estimate(request.placement.route->name, request.placement.route->target_latency);
    // Waiting requests take precedence; otherwise the queue would never get shorter under a steady overload.
    const auto line = m_lines.find(request.placement.service);
    const bool is_overtaking = line != m_lines.end() && line->second.ahead_of(request.priority) > 0;
    if (decision.placed.kind == placement_kind::send && is_overtaking)
        decision.placed.kind = placement_kind::wait;
    switch (decision.placed.kind) {
    case placement_kind::send:
        decision.type = dispatch_decision::kind::send;
        return decision;
    case placement_kind::too_late:
        return refuse_for_room("no upstream can answer in time", request, decision.placed.expected_wait, now);
    case placement_kind::no_upstream:
        return refuse("no upstream is usable", m_options.shortest_return);
    case placement_kind::wait:
        break;
    }
    // The upstream that becomes free has a queue of its own.
    const duration upstream_wait =
        std::chrono::duration_cast<duration>(typical.known_object * m_options.placement.waiting_part);
    decision.expected_wait = expected_line_wait(request) + upstream_wait;
    if (now + decision.expected_wait + typical.known_object > request.placement.answer_by)
        return refuse_for_room("all upstreams are full for too long", request, decision.expected_wait, now);
    decision.type = dispatch_decision::kind::wait;
    return decision;
}

void request_dispatcher::enqueue(waiting_ticket ticket, dispatch_request request, time_point now,
                                 outcome_handler on_outcome) {
    const work_time typical = m_work.estimate(request.placement.route->name, request.placement.route->target_latency);
    m_lines[request.placement.service].push({.ticket = ticket,
                                             .priority = request.priority,
                                             .account = request.account,
                                             .arrived_at = now,
                                             .target_at = request.target_at,
                                             .give_up_at = request.placement.answer_by - typical.known_object,
                                             .shortest_work = typical.known_object});
    m_waiting.emplace(ticket, waiting_entry{std::move(request), std::move(on_outcome)});
}

bool request_dispatcher::cancel(waiting_ticket ticket) {
    const auto found = m_waiting.find(ticket);
    if (found == m_waiting.end())
        return false;
    m_lines[found->second.request.placement.service].remove(ticket);
    m_waiting.erase(found);
    return true;
}

void request_dispatcher::serve_waiting(time_point now) {
    for (auto& [service, line] : m_lines) {
        for (const waiting_ticket ticket : line.order(now)) {
            const auto found = m_waiting.find(ticket);
            if (found == m_waiting.end())
                continue;
            waiting_entry& entry = found->second;
            dispatch_decision decision;
            decision.placed = m_placements.choose(entry.request.placement, m_fleet, m_membership, m_work, now);
            const work_time typical =
                m_work.estimate(entry.request.placement.route->name, entry.request.placement.route->target_latency);
            if (decision.placed.kind == placement_kind::send)
                decision.type = dispatch_decision::kind::send;
            else if (decision.placed.kind == placement_kind::wait &&
                     now + typical.known_object <= entry.request.placement.answer_by)
                continue;
            else
                decision =
                    refuse_for_room("no slot became free in time", entry.request, m_options.shortest_return, now);
            if (decision.type == dispatch_decision::kind::send)
                line.record_service(entry.request.account, now);
            const outcome_handler on_outcome = std::move(entry.on_outcome);
            line.remove(ticket);
            m_waiting.erase(found);
            // The handler starts the attempt, so that the next choice includes its load.
            on_outcome(ticket, decision);
        }
    }
}

} // namespace ragworthinge
