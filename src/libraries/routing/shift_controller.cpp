#include "routing/shift_controller.h"

#include <algorithm>

namespace ragworthinge {

shift_controller::shift_controller(shift_controller_options options) : m_options(options) {}

void shift_controller::configure(std::span<const shift_configuration> shifts) {
    std::map<std::string, shift> updated;
    for (const shift_configuration& configuration : shifts) {
        const auto found = m_shifts.find(configuration.id);
        shift item = found == m_shifts.end() ? shift{} : std::move(found->second);
        item.configuration = configuration;
        item.record.id = configuration.id;
        updated[configuration.id] = std::move(item);
    }
    m_shifts = std::move(updated);
}

void shift_controller::load(const shift_record& record) {
    const auto found = m_shifts.find(record.id);
    if (found == m_shifts.end() || record.version <= found->second.record.version)
        return;
    found->second.record = record;
    found->second.pending.reset();
    found->second.bad_observations = 0;
}

result<const shift_controller::shift*> shift_controller::find(const std::string& id) const {
    const auto found = m_shifts.find(id);
    if (found == m_shifts.end())
        return failure(error_code::not_found, "shift " + id + " is not in the configuration");
    return &found->second;
}

shift_record shift_controller::next_record(const shift& item, shift_state state, std::string reason) {
    shift_record record = item.current();
    ++record.version;
    record.state = state;
    record.reason = std::move(reason);
    return record;
}

shift_state shift_controller::state_of(const shift& item) {
    const shift_state configured = item.configuration.state;
    const bool ended = configured == shift_state::cancelled || configured == shift_state::finished;
    return ended ? configured : item.current().state;
}

shift_state shift_controller::state(const std::string& id) const {
    const auto found = m_shifts.find(id);
    return found == m_shifts.end() ? shift_state::cancelled : state_of(found->second);
}

duration shift_controller::ramp_elapsed(const shift& item, wall_time now) {
    const shift_record& record = item.current();
    if (record.state != shift_state::running)
        return record.ramp_elapsed;
    // The clock of the host that started the shift may be ahead; the elapsed time must not become negative.
    const auto running = std::chrono::duration_cast<duration>(now - record.running_since);
    return record.ramp_elapsed + std::max(running, duration::zero());
}

result<shift_record> shift_controller::start(const std::string& id, wall_time now) const {
    BOOST_OUTCOME_TRY(const shift* item, find(id));
    if (state_of(*item) != shift_state::planned)
        return failure(error_code::conflict, "shift " + id + " was already started");
    if (!is_current(item->observation, now))
        return failure(error_code::unavailable, "no current observation of the target region of shift " + id);

    shift_record record = next_record(*item, shift_state::running, "started");
    record.ramp_elapsed = duration::zero();
    record.running_since = now;
    record.target_latency_ms = item->observation->latency_ms;
    record.target_error_ratio = item->observation->error_ratio;
    return record;
}

result<shift_record> shift_controller::pause(const std::string& id, std::string reason, wall_time now) const {
    BOOST_OUTCOME_TRY(const shift* item, find(id));
    if (state_of(*item) != shift_state::running)
        return failure(error_code::conflict, "shift " + id + " is not running");
    shift_record record = next_record(*item, shift_state::paused, std::move(reason));
    record.ramp_elapsed = std::min<duration>(ramp_elapsed(*item, now), item->configuration.ramp);
    return record;
}

result<shift_record> shift_controller::resume(const std::string& id, wall_time now) const {
    BOOST_OUTCOME_TRY(const shift* item, find(id));
    if (state_of(*item) != shift_state::paused)
        return failure(error_code::conflict, "shift " + id + " is not paused");
    shift_record record = next_record(*item, shift_state::running, "resumed");
    record.running_since = now;
    return record;
}

result<shift_record> shift_controller::finish(const std::string& id, wall_time now) const {
    BOOST_OUTCOME_TRY(const shift* item, find(id));
    const shift_state state = state_of(*item);
    if (state != shift_state::running && state != shift_state::paused)
        return failure(error_code::conflict, "shift " + id + " is neither running nor paused");
    shift_record record = next_record(*item, shift_state::finished, "finished");
    record.ramp_elapsed = ramp_elapsed(*item, now);
    return record;
}

result<shift_record> shift_controller::cancel(const std::string& id, wall_time now) const {
    BOOST_OUTCOME_TRY(const shift* item, find(id));
    const shift_state state = state_of(*item);
    if (state == shift_state::finished || state == shift_state::cancelled)
        return failure(error_code::conflict, "shift " + id + " has already ended");
    shift_record record = next_record(*item, shift_state::cancelled, "cancelled");
    record.ramp_elapsed = ramp_elapsed(*item, now);
    return record;
}

bool shift_controller::is_current(const std::optional<target_observation>& observation, wall_time now) const {
    return observation && now - observation->measured_at <= m_options.observation_lifetime;
}

bool shift_controller::is_bad(const shift& item, const target_observation& observation) const {
    const double latency_limit = std::max(item.record.target_latency_ms * m_options.pause_latency_ratio,
                                          item.record.target_latency_ms + m_options.pause_latency_rise_ms);
    const double error_limit = item.record.target_error_ratio + m_options.pause_error_ratio_rise;
    return observation.latency_ms > latency_limit || observation.error_ratio > error_limit;
}

void shift_controller::observe(const std::string& id, const target_observation& observation) {
    const auto found = m_shifts.find(id);
    if (found == m_shifts.end())
        return;
    shift& item = found->second;
    if (item.observation && observation.measured_at <= item.observation->measured_at)
        return;
    item.observation = observation;
    const bool counts = item.record.state == shift_state::running && is_bad(item, observation);
    item.bad_observations = counts ? item.bad_observations + 1 : 0;
}

std::vector<shift_record> shift_controller::check_targets(wall_time now) {
    std::vector<shift_record> records;
    for (auto& [id, item] : m_shifts) {
        const bool bad = item.bad_observations >= m_options.pause_consecutive_observations;
        const bool unknown = !is_current(item.observation, now);
        if (state_of(item) == shift_state::running && (bad || unknown)) {
            const char* const reason =
                bad ? "latency or errors of the target have risen" : "no current observation of the target";
            shift_record record = next_record(item, shift_state::paused, reason);
            const duration reached = std::min<duration>(ramp_elapsed(item, now), item.configuration.ramp);
            record.ramp_elapsed = std::max(reached - m_options.pause_ramp_rollback, duration::zero());
            item.pending = std::move(record);
        }
        if (item.pending)
            records.push_back(*item.pending);
    }
    return records;
}

double shift_controller::ramped_requests_per_second(const shift& item, wall_time now) const {
    const shift_state state = state_of(item);
    const bool is_moving = state == shift_state::running || state == shift_state::paused;
    if (!is_moving || !item.observation)
        return 0;
    const auto ramp = std::chrono::duration<double>(item.configuration.ramp);
    const double progress = ramp.count() > 0 ? std::chrono::duration<double>(ramp_elapsed(item, now)) / ramp : 1.0;
    const double link_cap_requests = item.configuration.cap_megabits_per_second / m_options.megabits_per_request;
    const double cap = std::min(item.configuration.cap_requests_per_second, link_cap_requests);
    return cap * std::clamp(progress, 0.0, 1.0);
}

std::vector<shift_allowance>
shift_controller::allowances(const std::map<std::pair<region_id, region_id>, link_state>& links, wall_time now) const {
    std::map<std::pair<region_id, region_id>, double> requested_on_link;
    std::map<region_id, double> requested_into;
    std::map<region_id, double> spare_in;
    for (const auto& [id, item] : m_shifts) {
        const double requested = ramped_requests_per_second(item, now);
        if (requested <= 0)
            continue;
        const region_id& target = item.configuration.to;
        requested_on_link[{item.configuration.from, target}] += requested * m_options.megabits_per_request;
        requested_into[target] += requested;
        const double spare = std::max(0.0, item.observation->spare_requests_per_second);
        const auto [found, added] = spare_in.try_emplace(target, spare);
        found->second = std::min(found->second, spare);
    }

    std::vector<shift_allowance> result;
    for (const auto& [id, item] : m_shifts) {
        const double requested = ramped_requests_per_second(item, now);
        shift_allowance allowance{id, 0, 0};
        const auto link = links.find({item.configuration.from, item.configuration.to});
        if (requested > 0 && link != links.end()) {
            const link_state& state = link->second;
            const double available =
                std::max(0.0, state.capacity_megabits_per_second - state.unplanned_megabits_per_second);
            const double by_link = std::min(1.0, available / requested_on_link.at(link->first));
            const region_id& target = item.configuration.to;
            const double by_target = std::min(1.0, spare_in.at(target) / requested_into.at(target));
            allowance.requests_per_second = requested * std::min(by_link, by_target);
            allowance.megabits_per_second = allowance.requests_per_second * m_options.megabits_per_request;
        }
        result.push_back(std::move(allowance));
    }
    return result;
}

} // namespace ragworthinge
