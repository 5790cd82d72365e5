#include "host/service_dispatch.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace ragworthinge {

service_dispatch::service_dispatch(service_dispatch_options options)
    : m_options(std::move(options)),
      m_dispatcher(m_options.rates, {.queue = {}, .upstreams = {.health = {}, .require_slot_share = true}}) {}

void service_dispatch::configure(const configuration_snapshot& snapshot, upstream_start start, time_point now) {
    const service_configuration* configured = snapshot.find_service(m_options.service);
    // A service that was removed keeps no upstream, so its waiting requests are refused.
    service_configuration service;
    service.name = m_options.service;
    if (configured != nullptr)
        service = *configured;
    m_upstreams.clear();
    for (const upstream_configuration& upstream : service.upstreams) {
        if (upstream.region == m_options.region)
            m_upstreams.push_back(upstream);
    }
    take_shares(now);
    apply(m_dispatcher.configure(service, m_options.region, snapshot.configuration().client_accounts, start, now), now);
    take_shares(now);
}

void service_dispatch::set_dispatcher(bool is_dispatcher) {
    if (m_is_dispatcher == is_dispatcher)
        return;
    m_is_dispatcher = is_dispatcher;
    if (is_dispatcher)
        return;
    for (const queue_entry& entry : m_dispatcher.queue().remove_all())
        decide(entry.ticket, {.moved = true});
}

dispatch_decision service_dispatch::acquire(queue_entry entry) {
    if (!m_is_dispatcher)
        return {.moved = true};
    const time_point now = monotonic_clock::now();
    m_options.rates.note_demand(entry.account);
    take_shares(now);
    waiting_request request;
    const request_ticket ticket = entry.ticket;
    m_waiting.emplace(ticket, &request);
    apply(m_dispatcher.enqueue(std::move(entry), now), now);
    request.decided.wait();
    return std::move(request.decision);
}

void service_dispatch::finished(request_ticket ticket, upstream_outcome outcome) {
    const time_point now = monotonic_clock::now();
    record_end(ticket, outcome == upstream_outcome::error_response || outcome == upstream_outcome::unreachable, now);
    take_shares(now);
    apply(m_dispatcher.finished(ticket, outcome, now), now);
}

void service_dispatch::timed_out(request_ticket ticket) {
    const time_point now = monotonic_clock::now();
    record_end(ticket, true, now);
    take_shares(now);
    apply(m_dispatcher.timed_out(ticket, now), now);
}

void service_dispatch::cancelled(request_ticket ticket) {
    const time_point now = monotonic_clock::now();
    m_dispatched_at.erase(ticket);
    take_shares(now);
    apply(m_dispatcher.cancel(ticket, now), now);
}

void service_dispatch::tick(time_point now) {
    take_shares(now);
    apply(m_dispatcher.tick(now), now);
}

void service_dispatch::record_end(request_ticket ticket, bool failed, time_point now) {
    const auto found = m_dispatched_at.find(ticket);
    if (found == m_dispatched_at.end())
        return;
    m_average.add(now - found->second, failed);
    m_dispatched_at.erase(found);
}

void service_dispatch::set_drained(const std::set<upstream_id>& drained) {
    for (const upstream_configuration& upstream : m_upstreams)
        m_dispatcher.upstreams().set_listed_as_leaving(upstream.name, drained.contains(upstream.name));
}

service_load_report service_dispatch::load(time_point now) const {
    service_load_report report{.service = m_options.service, .free_slots = free_slots(now)};
    for (const domain_capacity& domain : m_dispatcher.upstreams().capacity(now)) {
        report.slots += domain.slots;
        report.largest_domain_slots = std::max(report.largest_domain_slots, domain.slots);
        report.occupied += domain.in_flight;
    }
    if (m_average.known())
        report.latency_ms = static_cast<std::uint32_t>(std::max(1.0, m_average.latency_ms()));
    report.errors_per_mille = static_cast<std::uint32_t>(m_average.error_ratio() * 1000);
    return report;
}

std::uint32_t service_dispatch::slots_in_use() const {
    std::uint32_t count = 0;
    for (const upstream_configuration& upstream : m_upstreams)
        count += m_dispatcher.upstreams().slots_in_use(upstream.name);
    return count;
}

// The shares are read before each decision, because the spending lease may have ended since the last one.
void service_dispatch::take_shares(time_point now) {
    for (const upstream_configuration& upstream : m_upstreams)
        m_dispatcher.upstreams().set_slot_share(upstream.name, m_options.slots.usable(upstream.name, now));
}

void service_dispatch::apply(const dispatcher_actions& actions, time_point now) {
    for (const upstream_configuration& upstream : m_upstreams) {
        m_options.slots.set_in_use(upstream.name, m_dispatcher.upstreams().slots_in_use(upstream.name), now);
        m_options.slots.set_wanted(upstream.name, m_is_dispatcher ? upstream.slots : 0);
    }
    for (const dispatcher_action& action : actions) {
        if (const auto* dispatch = std::get_if<dispatch_action>(&action)) {
            m_dispatched_at.emplace(dispatch->ticket, now);
            decide(dispatch->ticket, {.upstream = dispatch->upstream});
        }
        if (const auto* refuse = std::get_if<refuse_action>(&action))
            decide(refuse->ticket, {.upstream = std::nullopt, .reason = refuse->reason});
    }
}

void service_dispatch::decide(request_ticket ticket, dispatch_decision decision) {
    const auto found = m_waiting.find(ticket);
    if (found == m_waiting.end())
        return;
    waiting_request* request = found->second;
    m_waiting.erase(found);
    request->decision = std::move(decision);
    request->decided.set();
}

} // namespace ragworthinge
