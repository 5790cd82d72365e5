#pragma once

#include "base/identifiers.h"
#include "base/time.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace ragworthinge {

struct suspicion_options {
    /// Silence after which one observer counts a host as silent. Seven heartbeats inside a region; with one further
    /// heartbeat for the report of the second observer the dispatcher role moves within the target of 3 s.
    duration silence_limit = std::chrono::milliseconds{1500};
    /// An observer's report older than this says nothing: the observer itself may be paused or cut off.
    duration report_lifetime = std::chrono::milliseconds{1500};
    /// Failure domains that must agree. With one, a single slow link would remove a healthy host.
    std::size_t required_failure_domains = 2;
};

/// Decides whether a host is silent towards observers in enough failure domains.
///
/// An observer that reports and does not list a host hears that host. A failure domain counts as silent only when all
/// of its observers with a current report list the host.
class suspicion {
public:
    explicit suspicion(suspicion_options options = {});

    /// Replaces what an observer reported: the hosts that it has not heard for the silence limit.
    void report(const host_id& observer, const failure_domain_id& domain, std::vector<host_id> silent_hosts,
                time_point received_at);

    /// Removes an observer that left or was fenced.
    void remove_observer(const host_id& observer);

    /// Whether the current reports make the host suspected. The host's own report about itself is ignored.
    bool is_suspected(const host_id& subject, time_point now) const;

    const suspicion_options& options() const noexcept { return m_options; }

private:
    struct observer_report {
        failure_domain_id domain;
        std::set<host_id> silent_hosts;
        time_point received_at;
    };

    suspicion_options m_options;
    std::map<host_id, observer_report> m_reports;
};

} // namespace ragworthinge
