#include "routing/upstream_selector.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace ragworthinge {

namespace {

// Number of consecutive sheds with a single allowed slot after which the upstream is ejected.
constexpr unsigned ejection_consecutive_sheds = 3;

} // namespace

upstream_selector::upstream_selector(upstream_selector_options options) : m_options(options) {}

void upstream_selector::configure(std::span<const upstream_configuration> upstreams, upstream_start start,
                                  time_point now) {
    for (auto& [name, record] : m_upstreams)
        record->configured = false;

    for (const upstream_configuration& configuration : upstreams) {
        auto& record = m_upstreams[configuration.name];
        if (!record) {
            record = std::make_unique<upstream_record>();
            record->health = health_tracker(m_options.health);
            record->warm = !m_configured_once && start == upstream_start::warm;
            if (record->warm)
                record->last_dispatch = now;
        }
        record->configuration = configuration;
        record->configured = true;
    }
    m_configured_once = true;
    remove_idle_unconfigured();
}

upstream_selector::upstream_record* upstream_selector::find(const upstream_id& upstream) const {
    const auto position = m_upstreams.find(upstream);
    return position == m_upstreams.end() ? nullptr : position->second.get();
}

void upstream_selector::set_slot_share(const upstream_id& upstream, std::uint32_t slots) {
    if (upstream_record* record = find(upstream))
        record->slot_share = slots;
}

void upstream_selector::set_listed_as_leaving(const upstream_id& upstream, bool leaving) {
    if (upstream_record* record = find(upstream))
        record->listed_as_leaving = leaving;
}

void upstream_selector::record_report(const upstream_id& upstream, const upstream_report& report) {
    if (upstream_record* record = find(upstream))
        record->health.record_report(report);
}

bool upstream_selector::accepts_work(const upstream_record& upstream) {
    const bool leaving = upstream.configuration.state == upstream_state::leaving || upstream.listed_as_leaving;
    return upstream.configured && !leaving && upstream.configuration.slots > 0;
}

std::uint32_t upstream_selector::owned_slots(const upstream_record& upstream) const {
    const std::uint32_t share = upstream.slot_share.value_or(m_options.require_slot_share ? 0 : ~0U);
    return std::min(upstream.configuration.slots, share);
}

bool upstream_selector::is_idle(const upstream_record& upstream, time_point now) const {
    return upstream.last_dispatch && upstream.in_flight == 0 &&
           now - *upstream.last_dispatch > m_options.cold_after_idle;
}

std::uint32_t upstream_selector::ramp_limit(const upstream_record& upstream, std::uint32_t slots,
                                            time_point now) const {
    if (slots == 0)
        return 0;
    const bool idle = is_idle(upstream, now);
    if (upstream.warm && !idle)
        return slots;

    // The ramp starts with the first request, because an upstream does not warm up without traffic.
    const duration elapsed = idle || !upstream.ramp_started ? duration::zero() : now - *upstream.ramp_started;
    const double progress = std::clamp(std::chrono::duration<double>(elapsed) / m_options.ramp, 0.0, 1.0);
    const double fraction = m_options.ramp_start_fraction + (1 - m_options.ramp_start_fraction) * progress;
    return std::max(1U, static_cast<std::uint32_t>(std::floor(fraction * slots)));
}

std::uint32_t upstream_selector::shed_limit(const upstream_record& upstream, std::uint32_t slots,
                                            time_point now) const {
    if (!upstream.shed_limit)
        return slots;
    const auto regained = static_cast<std::uint64_t>((now - upstream.shed_limit_set) / m_options.shed_recovery);
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(slots, *upstream.shed_limit + regained));
}

bool upstream_selector::honours_error_ejections(time_point now) const {
    std::size_t active = 0;
    std::size_t ejected = 0;
    for (const auto& [name, record] : m_upstreams) {
        if (!accepts_work(*record))
            continue;
        ++active;
        const upstream_health health = record->health.health(now);
        ejected += health == upstream_health::ejected || health == upstream_health::half_open ? 1 : 0;
    }
    return static_cast<double>(ejected) <= m_options.max_ejected_fraction * static_cast<double>(active);
}

std::uint32_t upstream_selector::allowed_slots(const upstream_record& upstream, bool honour_error_ejections,
                                               time_point now) const {
    if (!accepts_work(upstream))
        return 0;
    std::uint32_t slots = owned_slots(upstream);
    slots = ramp_limit(upstream, slots, now);
    slots = shed_limit(upstream, slots, now);

    const upstream_health health = upstream.health.health(now);
    const bool ejected = health == upstream_health::ejected || health == upstream_health::half_open;
    if (ejected && !honour_error_ejections && upstream.health.ejection_cause() == upstream_outcome::error_response)
        return slots;
    if (health == upstream_health::ejected)
        return 0;
    if (health == upstream_health::half_open)
        return upstream.health.has_probe() ? 0 : std::min(owned_slots(upstream), upstream.in_flight + 1);
    if (upstream.health.is_reported_unhealthy(now))
        return std::min(slots, 1U);
    return slots;
}

bool upstream_selector::precedes(const candidate& left, const candidate& right) {
    if (left.avoided != right.avoided)
        return right.avoided;
    if (left.is_non_idempotent_probe != right.is_non_idempotent_probe)
        return right.is_non_idempotent_probe;
    if (left.load != right.load)
        return left.load < right.load;
    return left.latency < right.latency;
}

std::optional<upstream_id> upstream_selector::select(const queue_entry& entry, time_point now) const {
    const bool honour = honours_error_ejections(now);
    candidate best;
    for (const auto& [name, record] : m_upstreams) {
        const std::uint32_t allowed = allowed_slots(*record, honour, now);
        if (record->in_flight >= allowed)
            continue;

        candidate next;
        next.upstream = record.get();
        next.avoided = !entry.avoided_failure_domain.empty() &&
                       record->configuration.failure_domain == entry.avoided_failure_domain;
        next.is_non_idempotent_probe = !entry.idempotent && record->health.health(now) == upstream_health::half_open;
        next.load = static_cast<double>(record->in_flight) / allowed;
        // At equal load, unknown latency sorts first. Otherwise an upstream whose observations have expired would not
        // be measured again. Its request in flight then raises its load, so it does not attract all traffic.
        next.latency = record->health.latency(now).value_or(duration::zero());
        if (best.upstream == nullptr || precedes(next, best))
            best = next;
    }
    if (best.upstream == nullptr)
        return std::nullopt;
    return best.upstream->configuration.name;
}

void upstream_selector::occupy(const upstream_id& upstream, request_ticket ticket, time_point deadline,
                               time_point now) {
    upstream_record* record = find(upstream);
    assert(record != nullptr);
    assert(!m_running.contains(ticket));
    if (is_idle(*record, now) || (!record->warm && !record->ramp_started)) {
        record->warm = false;
        record->ramp_started = now;
    }
    record->last_dispatch = now;
    record->health.record_dispatch(now);
    ++record->in_flight;

    const time_point expires_at = deadline + m_options.grace;
    m_running[ticket] = {record, now, expires_at, std::nullopt};
    m_expiries.emplace(expires_at, ticket);
}

void upstream_selector::release(request_ticket ticket, upstream_outcome outcome, time_point now) {
    const auto position = m_running.find(ticket);
    if (position == m_running.end())
        return;
    const running_request request = position->second;
    m_expiries.erase({request.expires_at, ticket});
    m_running.erase(position);

    assert(request.upstream->in_flight > 0);
    --request.upstream->in_flight;
    if (!request.abandoned_as)
        record_end(*request.upstream, outcome, request.dispatched_at, now);
    if (!request.upstream->configured)
        remove_idle_unconfigured();
}

void upstream_selector::abandon(request_ticket ticket, upstream_outcome outcome, time_point now) {
    const auto position = m_running.find(ticket);
    if (position == m_running.end() || position->second.abandoned_as)
        return;
    position->second.abandoned_as = outcome;
    record_end(*position->second.upstream, outcome, position->second.dispatched_at, now);
}

void upstream_selector::expire(time_point now) {
    while (!m_expiries.empty() && m_expiries.begin()->first <= now) {
        const request_ticket ticket = m_expiries.begin()->second;
        running_request& request = m_running.at(ticket);
        if (request.abandoned_as == upstream_outcome::cancelled)
            request.abandoned_as.reset();
        release(ticket, upstream_outcome::timed_out, now);
    }
}

void upstream_selector::record_end(upstream_record& upstream, upstream_outcome outcome, time_point dispatched_at,
                                   time_point now) {
    const std::optional<time_point> recovered_before = upstream.health.recovered_at();
    upstream.health.record_outcome(outcome, dispatched_at, now);
    if (upstream.health.recovered_at() != recovered_before) {
        upstream.warm = false;
        upstream.ramp_started = now;
    }
    if (outcome == upstream_outcome::shed)
        record_shed(upstream, now);
    if (outcome == upstream_outcome::succeeded)
        upstream.consecutive_sheds_at_one_slot = 0;
}

void upstream_selector::record_shed(upstream_record& upstream, time_point now) const {
    // The shed request is no longer counted, so `in_flight` is the number of requests that the upstream accepted.
    const std::uint32_t limit =
        std::max(1U, std::min(upstream.in_flight, shed_limit(upstream, upstream.in_flight, now)));
    upstream.shed_limit = limit;
    upstream.shed_limit_set = now;
    upstream.consecutive_sheds_at_one_slot = limit == 1 ? upstream.consecutive_sheds_at_one_slot + 1 : 0;
    if (upstream.consecutive_sheds_at_one_slot < ejection_consecutive_sheds)
        return;
    upstream.consecutive_sheds_at_one_slot = 0;
    upstream.health.eject(upstream_outcome::shed, now);
}

void upstream_selector::remove_idle_unconfigured() {
    std::erase_if(m_upstreams,
                  [](const auto& item) { return !item.second->configured && item.second->in_flight == 0; });
}

bool upstream_selector::has_active_upstream() const {
    return std::any_of(m_upstreams.begin(), m_upstreams.end(),
                       [](const auto& item) { return accepts_work(*item.second); });
}

std::uint32_t upstream_selector::free_slots(time_point now) const {
    const bool honour = honours_error_ejections(now);
    std::uint32_t free = 0;
    for (const auto& [name, record] : m_upstreams) {
        const std::uint32_t allowed = allowed_slots(*record, honour, now);
        free += allowed > record->in_flight ? allowed - record->in_flight : 0;
    }
    return free;
}

std::vector<domain_capacity> upstream_selector::capacity(time_point now) const {
    const bool honour = honours_error_ejections(now);
    std::map<failure_domain_id, domain_capacity> domains;
    for (const auto& [name, record] : m_upstreams) {
        domain_capacity& domain = domains[record->configuration.failure_domain];
        domain.failure_domain = record->configuration.failure_domain;
        const std::uint32_t allowed = allowed_slots(*record, honour, now);
        domain.slots += std::max(allowed, std::min(record->in_flight, owned_slots(*record)));
        domain.in_flight += record->in_flight;
    }

    std::vector<domain_capacity> result;
    result.reserve(domains.size());
    for (auto& [name, domain] : domains)
        result.push_back(std::move(domain));
    return result;
}

std::uint32_t upstream_selector::slots_in_use(const upstream_id& upstream) const {
    const upstream_record* record = find(upstream);
    return record == nullptr ? 0 : record->in_flight;
}

upstream_health upstream_selector::health(const upstream_id& upstream, time_point now) const {
    const upstream_record* record = find(upstream);
    return record == nullptr ? upstream_health::unknown : record->health.health(now);
}

std::optional<duration> upstream_selector::lowest_latency(time_point now) const {
    std::optional<duration> lowest;
    for (const auto& [name, record] : m_upstreams) {
        const std::optional<duration> latency = record->health.latency(now);
        if (latency && (!lowest || *latency < *lowest))
            lowest = latency;
    }
    return lowest;
}

} // namespace ragworthinge
