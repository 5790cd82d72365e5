#include "gateway/attempt_runner.h"

#include "base/boot_clock.h"
#include "base/http_status.h"
#include "gateway/reported_load.h"

#include <algorithm>
#include <utility>

namespace ragworthinge {

std::vector<known_object> attempt_runner::take_new_objects() {
    return std::exchange(m_new_objects, {});
}

observed_upstream::attempt_handle attempt_runner::begin(const service_id& service, const placement& placed) {
    m_components.counters.add("ragworthinge_sends_total", {{"service", service},
                                                           {"region", placed.upstream->region()},
                                                           {"knows_object", placed.knows_object ? "true" : "false"}});
    if (placed.room != nullptr)
        placed.room->record_start(boot_time_now());
    return placed.upstream->start_attempt(placed.expected_processing + placed.distance, boot_time_now());
}

upstream_attempt attempt_runner::run(const assigned_attempt& assigned, outgoing_request& outgoing) {
    const upstream_description description = assigned.placed.upstream->description();
    const time_point started = boot_time_now();
    const duration left = std::max(assigned.subject->answer_by - started, duration::zero());
    http_fields& fields = outgoing.head.fields;
    fields.set(m_components.field_names.time_left,
               std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(left).count()));
    fields.set(m_components.field_names.expected_upstream, description.id);

    upstream_attempt attempt = m_components.client.perform(assigned.placed.upstream, outgoing, *assigned.canceller,
                                                           monotonic_clock::now() + left);
    record_end(assigned, attempt);
    m_components.log.write(log_level::debug, "attempt", field("request", assigned.subject->id),
                           field("upstream", description.id), field("end", to_string(attempt.type)),
                           field("problem", attempt.problem), field("taken", boot_time_now() - started));
    m_components.dispatcher.serve_waiting(boot_time_now());
    return attempt;
}

void attempt_runner::record_end(const assigned_attempt& assigned, const upstream_attempt& attempt) {
    const time_point now = boot_time_now();
    observed_upstream& upstream = *assigned.placed.upstream;
    attempt_end end = attempt_end::failed;
    record_reported_speed(upstream, attempt.head, now);

    switch (attempt.type) {
    case upstream_attempt::kind::answered:
        end = attempt.head.status >= http_status::first_server_error ? attempt_end::failed : attempt_end::answered;
        m_components.crashes.record_answer(assigned.subject->fingerprint);
        m_components.dispatcher.processing_times().record_size(assigned.subject->route->name, attempt.body.size());
        if (end == attempt_end::answered)
            record_success(assigned, now);
        break;
    case upstream_attempt::kind::not_run:
        end = attempt_end::shed;
        break;
    case upstream_attempt::kind::unreachable:
        end = attempt_end::cancelled;
        break;
    case upstream_attempt::kind::broken:
    case upstream_attempt::kind::timed_out:
        if (assigned.canceller->is_cancelled())
            end = attempt_end::cancelled;
        break;
    }
    const time_point sent_at = assigned.running->sent_at;
    upstream.end_attempt(assigned.running, end, assigned.placed.distance + assigned.placed.expected_wait, now);
    record_reported_load(upstream, attempt.head);
    if (assigned.placed.room != nullptr)
        assigned.placed.room->record_end(end == attempt_end::answered ? std::optional(now - sent_at) : std::nullopt,
                                         now);
    if (attempt.type == upstream_attempt::kind::broken && attempt.connection_lost && end != attempt_end::cancelled)
        check_for_crash(assigned);
    if (attempt.wrong_upstream) {
        upstream.mark_replaced();
        m_components.log.write(log_level::warn, "upstream_replaced", field("upstream", upstream.description().id),
                               field("address", upstream.description().address));
    }
}

void attempt_runner::record_success(const assigned_attempt& assigned, time_point now) {
    observed_upstream& upstream = *assigned.placed.upstream;
    const attempt_subject& subject = *assigned.subject;
    record_processing_time(assigned, now);
    if (!subject.object || !subject.route->prefers_known_object)
        return;
    if (!upstream.knows_object(*subject.object))
        m_new_objects.push_back({upstream.description().id, *subject.object});
    upstream.add_known_object(*subject.object, now);
}

void attempt_runner::record_processing_time(const assigned_attempt& assigned, time_point now) {
    constexpr double max_typical_slowdown = 1.3;
    const placement& placed = assigned.placed;
    const observed_upstream& upstream = *placed.upstream;
    const steering_route& route = *assigned.subject->route;
    const duration taken = now - assigned.running->sent_at - placed.distance;
    if (placed.expected_wait != duration::zero() || upstream.is_cold(now) || taken <= duration::zero())
        return;
    processing_time_estimator& times = m_components.dispatcher.processing_times();
    if (upstream.speed().is_reported()) {
        const bool expected_known = placed.knows_object || !assigned.subject->object || !route.prefers_known_object;
        if (const std::optional<double> factor = upstream.speed_during(*assigned.running, now))
            times.record_at_usual_speed(route.name, std::chrono::duration_cast<duration>(taken / *factor),
                                        expected_known);
    } else if (upstream.slowdown(now) < max_typical_slowdown) {
        times.record(route.name, taken);
    }
}

void attempt_runner::record_reported_speed(observed_upstream& upstream, const http_response_head& head,
                                           time_point now) {
    const auto text = head.fields.find(m_components.field_names.upstream_load);
    const auto load = text ? parse_reported_load(*text) : std::nullopt;
    if (load && load->work_factor)
        upstream.record_speed(*load->work_factor, now);
}

void attempt_runner::record_reported_load(observed_upstream& upstream, const http_response_head& head) {
    const auto text = head.fields.find(m_components.field_names.upstream_load);
    const auto load = text ? parse_reported_load(*text) : std::nullopt;
    if (!load)
        return;
    const double others =
        static_cast<double>(load->running) + load->waiting - static_cast<double>(upstream.own_in_flight());
    upstream.set_others_in_flight(std::max(0.0, others));
}

void attempt_runner::check_for_crash(const assigned_attempt& assigned) {
    const std::shared_ptr<observed_upstream>& upstream = assigned.placed.upstream;
    // A lost response leaves the upstream reachable; a crash does not.
    if (m_components.client.probe(upstream))
        return;
    m_components.crashes.record_crash(assigned.subject->fingerprint, boot_time_now());
    m_components.log.write(log_level::warn, "upstream_died", field("request", assigned.subject->id),
                           field("upstream", upstream->description().id), field("path", assigned.subject->path));
}

} // namespace ragworthinge
