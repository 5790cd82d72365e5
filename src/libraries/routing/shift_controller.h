#pragma once

#include "base/identifiers.h"
#include "base/result.h"
#include "base/time.h"
#include "configuration/fleet_configuration.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace ragworthinge {

/// Content of `shifts/<id>` in the store. Changed only by compare-and-swap, so any host may continue a shift.
struct shift_record {
    std::string id;
    std::uint64_t version = 0; ///< Grows by one with each change.
    shift_state state = shift_state::planned;
    duration ramped{};            ///< Progress of the ramp before `running_since`.
    wall_time running_since;      ///< Valid while running.
    double target_latency_ms = 0; ///< Latency and error ratio of the target before the shift.
    double target_error_ratio = 0;
    std::string reason; ///< Why the state was entered, for people.
};

/// What is known about the target region for the services of a shift.
struct target_observation {
    double latency_ms = 0;
    double error_ratio = 0;
    /// Shifted requests/s that the region can take beside its other load and stay able to lose one failure domain.
    double spare_requests_per_second = 0;
    wall_time measured_at;
};

/// Use of the link in one direction between two regions.
struct link_state {
    double capacity_megabits_per_second = 0;
    double unplanned_megabits_per_second = 0; ///< Overflow and failover; it has precedence over shifts.
};

/// Traffic that a shift may move now, over all hosts.
struct shift_allowance {
    std::string id;
    double requests_per_second = 0;
    double megabits_per_second = 0;
};

struct shift_controller_options {
    /// Latency of the target, relative to that before the shift, that pauses.
    double pause_latency_ratio = 1.5;
    /// Smaller rises are noise at low latencies.
    double pause_latency_rise_ms = 10;
    /// Rise of the error ratio that pauses.
    double pause_error_ratio_rise = 0.02;
    /// Consecutive bad observations that pause; a single one may be an outlier.
    unsigned pause_consecutive_observations = 3;
    /// Observations older than this are unknown, and unknown pauses.
    duration observation_lifetime = std::chrono::seconds{15};
    /// Progress taken back on an automatic pause. The load that raised the latency was reached about this long before
    /// the pause, because measurements lag and several must agree.
    duration pause_ramp_rollback = std::chrono::seconds{15};
    /// Request and answer size used before it is measured.
    double megabits_per_request = 0.1;
};

/// Planned traffic shifts: operators' commands, ramp, automatic pause and overlap.
///
/// Records are values: commands return the record to be written; the controller uses it after `load`.
class shift_controller {
public:
    explicit shift_controller(shift_controller_options options = {});

    /// Replaces the planned shifts. A cancelled or finished configuration ends the shift at once.
    void configure(std::span<const shift_configuration> shifts);

    /// Takes a record from the store; a lower version is ignored.
    void load(const shift_record& record);

    /// Takes an observation of the target of a shift; an older one is ignored.
    void observe(const std::string& id, const target_observation& observation);

    /// Operators' commands. Fail with not_found, or with conflict when the state does not permit the command.
    result<shift_record> start(const std::string& id, wall_time now) const;
    result<shift_record> pause(const std::string& id, std::string reason, wall_time now) const;
    result<shift_record> resume(const std::string& id, wall_time now) const;
    result<shift_record> finish(const std::string& id, wall_time now) const;
    result<shift_record> cancel(const std::string& id, wall_time now) const;

    /// Records of shifts that must pause by themselves. They are in force on this host at once, also while the store
    /// is down, and are returned again until `load` brings a newer record.
    std::vector<shift_record> check_targets(wall_time now);

    /// What each running or paused shift may move. A paused shift keeps its progress and the last known spare capacity:
    /// returning all traffic because measurements stopped would be a large change for which nothing is known either.
    ///  The sum on a link stays within what unplanned traffic leaves, and
    /// the sum into a region within its spare capacity.
    std::vector<shift_allowance> allowances(const std::map<std::pair<region_id, region_id>, link_state>& links,
                                            wall_time now) const;

    shift_state state(const std::string& id) const;

private:
    struct shift {
        shift_configuration configuration;
        shift_record record;
        std::optional<target_observation> observation;
        unsigned bad_observations = 0;
        std::optional<shift_record> pending; ///< Automatic pause that is not in the store yet.

        const shift_record& current() const noexcept { return pending ? *pending : record; }
    };

    result<const shift*> find(const std::string& id) const;
    static shift_state state_of(const shift& item);
    static shift_record next_record(const shift& item, shift_state state, std::string reason);
    static duration ramped(const shift& item, wall_time now);
    bool is_bad(const shift& item, const target_observation& observation) const;
    bool is_current(const std::optional<target_observation>& observation, wall_time now) const;
    double ramped_requests_per_second(const shift& item, wall_time now) const;

    shift_controller_options m_options;
    std::map<std::string, shift> m_shifts;
};

} // namespace ragworthinge
