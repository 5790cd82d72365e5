#pragma once

#include "base/time.h"
#include "steering/fleet_report.h"

#include <map>
#include <set>

namespace ragworthinge {

struct crash_tracker_options {
    unsigned crash_limit = 3; ///< Number of upstreams, over all hosts, that a request may crash before it is refused.
    /// Crashes are forgotten when no further one follows within this time.
    duration retention = std::chrono::seconds(60);
    std::size_t record_limit = 1000; ///< Bounds memory use if all upstreams crash at once.
};

/// Detects requests that crash every upstream that runs them, from the crash counts that hosts report to each other. A
/// successful response clears the counts of a request: it was running while its upstream crashed for another reason.
class crash_tracker {
public:
    explicit crash_tracker(crash_tracker_options options = {}) : m_options(options) {}

    /// Records that the upstream's process ended while the request was running on it.
    void record_crash(std::uint64_t fingerprint, time_point now);

    void record_answer(std::uint64_t fingerprint);

    /// Replaces the counts received from another host.
    void merge(const host_id& host, const std::vector<crash_notice>& notices, time_point now);

    bool is_refused(std::uint64_t fingerprint, time_point now) const;

    /// Returns this host's own counts, for its report.
    std::vector<crash_notice> notices(time_point now);

    /// Returns the summed counts of all hosts, this one included, except the given host, for the region update sent to
    /// it.
    std::vector<crash_notice> notices_without(const host_id& host, time_point now);

private:
    struct count {
        unsigned upstream_crashes = 0;
        time_point last_crash;
    };
    using counts = std::map<std::uint64_t, count>;

    void remove_expired(counts& records, time_point now) const;

    crash_tracker_options m_options;
    counts m_own;
    std::map<host_id, counts> m_others;
};

} // namespace ragworthinge
