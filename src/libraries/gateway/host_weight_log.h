#pragma once

#include "base/identifiers.h"
#include "base/time.h"
#include "observability/event_log.h"
#include "steering/host_rooms.h"

#include <chrono>
#include <map>
#include <optional>
#include <span>

namespace ragworthinge {

struct host_weight_log_options {
    duration least_period = std::chrono::seconds(10);
    /// Only weights that differ from the last logged one by more than this factor are logged.
    double logged_change = 1.5;
};

/// Logs the weights by which lookups name hosts, while there is more than one kind of host.
class host_weight_log {
public:
    explicit host_weight_log(event_log& log, host_weight_log_options options = {}) : m_log(log), m_options(options) {}

    /// Logs the weights of the hosts that have changed much, at most once per period.
    void update(std::span<const entry_host> hosts, const host_rooms& rooms, time_point now);

private:
    event_log& m_log;
    host_weight_log_options m_options;
    std::optional<time_point> m_logged_at;
    std::map<host_id, double> m_logged; ///< Weight of each host in its last line.
};

} // namespace ragworthinge
