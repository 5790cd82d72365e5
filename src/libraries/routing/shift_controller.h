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

/// Content of `shifts/<id>` in the store. It is changed only by compare-and-swap, so any host may continue a shift.
struct shift_record {
    std::string id;
    std::uint64_t version = 0; ///< Incremented with each change.
    shift_state state = shift_state::planned;
    duration ramp_elapsed{};       ///< Time spent in the ramp before `running_since`.
    wall_time running_since;       ///< Valid while running.
    double target_latency_ms = 0;  ///< Latency of the target before the shift.
    double target_error_ratio = 0; ///< Error ratio of the target before the shift.
    std::string reason;            ///< Reason for the state change, for display.
};

/// Measurements of the target region for the services of a shift.
struct target_observation {
    double latency_ms = 0;
    double error_ratio = 0;
    /// Shifted requests/s that the region can serve besides its other load and still tolerate the loss of a failure
    /// domain.
    double spare_requests_per_second = 0;
    wall_time measured_at;
};

/// Capacity and use of the link from one region to another, in one direction.
struct link_state {
    double capacity_megabits_per_second = 0;
    double unplanned_megabits_per_second = 0; ///< Overflow and failover, which take precedence over shifts.
};

/// Traffic that a shift may move now, summed over all hosts.
struct shift_allowance {
    std::string id;
    double requests_per_second = 0;
    double megabits_per_second = 0;
};

struct shift_controller_options {
    /// Ratio of the target's latency to its latency before the shift above which an observation is bad.
    double pause_latency_ratio = 1.5;
    /// Latency rise in ms that a bad observation must also exceed, because smaller rises are noise at low latencies.
    double pause_latency_rise_ms = 10;
    /// Rise of the error ratio above which an observation is bad.
    double pause_error_ratio_rise = 0.02;
    /// Number of consecutive bad observations that pauses a shift; a single one may be an outlier.
    unsigned pause_consecutive_observations = 3;
    /// Maximum age of an observation. A shift without a current observation is paused.
    duration observation_lifetime = std::chrono::seconds{15};
    /// Ramp time rolled back on an automatic pause. The load that raised the latency was reached about this long before
    /// the pause, because measurements are delayed and several consecutive ones are required.
    duration pause_ramp_rollback = std::chrono::seconds{15};
    /// Assumed size of a request together with its response, as the real size is not measured.
    double megabits_per_request = 0.1;
};

/// Controls planned traffic shifts: operators' commands, ramp, automatic pause and limits for overlapping shifts.
///
/// Commands do not change the controller. They return the record to be written to the store, and the record takes
/// effect when it is passed to `load`.
class shift_controller {
public:
    explicit shift_controller(shift_controller_options options = {});

    /// Replaces the planned shifts. A shift that is cancelled or finished in the configuration ends immediately.
    void configure(std::span<const shift_configuration> shifts);

    /// Loads a record from the store. Records that are not newer than the current version are ignored.
    void load(const shift_record& record);

    /// Records an observation of the target of a shift. Observations that are not newer than the last one are ignored.
    void observe(const std::string& id, const target_observation& observation);

    /// Operators' commands. They fail with not_found, or with conflict if the state does not permit the command.
    /// `start` also fails with unavailable if there is no current observation of the target.
    result<shift_record> start(const std::string& id, wall_time now) const;
    result<shift_record> pause(const std::string& id, std::string reason, wall_time now) const;
    result<shift_record> resume(const std::string& id, wall_time now) const;
    result<shift_record> finish(const std::string& id, wall_time now) const;
    result<shift_record> cancel(const std::string& id, wall_time now) const;

    /// Returns the records of shifts that are paused automatically. They take effect on this host immediately, even
    /// while the store is down, and are returned again until `load` receives a newer record.
    std::vector<shift_record> check_targets(wall_time now);

    /// Returns what each shift may move; nothing unless it is running or paused. The sum on a link stays within the
    /// capacity that unplanned traffic leaves, and the sum into a region stays within its spare capacity.
    ///
    /// A paused shift keeps its ramp progress and the last known spare capacity, because moving all traffic back when
    /// measurements stop would be a large change whose effect is unknown as well.
    std::vector<shift_allowance> allowances(const std::map<std::pair<region_id, region_id>, link_state>& links,
                                            wall_time now) const;

    shift_state state(const std::string& id) const;

private:
    struct shift {
        shift_configuration configuration;
        shift_record record;
        std::optional<target_observation> observation;
        unsigned bad_observations = 0;
        std::optional<shift_record> pending; ///< Automatic pause that is not yet in the store.

        const shift_record& current() const noexcept { return pending ? *pending : record; }
    };

    result<const shift*> find(const std::string& id) const;
    static shift_state state_of(const shift& item);
    static shift_record next_record(const shift& item, shift_state state, std::string reason);
    static duration ramp_elapsed(const shift& item, wall_time now);
    bool is_bad(const shift& item, const target_observation& observation) const;
    bool is_current(const std::optional<target_observation>& observation, wall_time now) const;
    double ramped_requests_per_second(const shift& item, wall_time now) const;

    shift_controller_options m_options;
    std::map<std::string, shift> m_shifts;
};

} // namespace ragworthinge
