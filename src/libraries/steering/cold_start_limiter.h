#pragma once

#include "base/time.h"
#include "steering/fleet_membership.h"
#include "steering/observed_upstream.h"

namespace ragworthinge {

struct cold_start_limiter_options {
    /// Number of hosts that may send to one cold upstream. Two, so that one may fail; with more, none could send a
    /// whole request per second to an upstream that tolerates three.
    std::size_t senders = 2;
    /// Divisor of each host's share of the rate. A value above 1 leaves room for hosts whose views of the fleet differ
    /// while hosts join and leave.
    double margin = 1.0;
};

/// Keeps the rate of requests to a cold upstream, summed over all hosts, below the rate that it tolerates, without a
/// message per request. For each cold upstream, all hosts determine the same few senders by ranking, and each sender
/// uses only its share of the rate.
///
/// Designed for a region or failure domain that returns cold while requests of all hosts wait for it.
class cold_start_limiter {
public:
    explicit cold_start_limiter(cold_start_limiter_options options = {}) : m_options(options) {}

    /// Returns whether this host may send a request to the upstream now. Always true for an upstream that is not cold.
    bool allows(observed_upstream& upstream, double tolerated_per_second, const fleet_membership& fleet,
                time_point now) const;

private:
    cold_start_limiter_options m_options;
};

} // namespace ragworthinge
