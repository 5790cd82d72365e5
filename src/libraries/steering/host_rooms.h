#pragma once

#include "base/time.h"
#include "steering/fleet_change.h"

#include <chrono>
#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace ragworthinge {

struct host_rooms_options {
    /// Processor time that a host spends on one request without regard to its bytes.
    std::chrono::microseconds processor_time{800};
    /// Bytes of the heads of a request and its response.
    double head_bytes = 1024;
    /// Bytes of the bodies of one request that are assumed until enough requests were answered.
    double initial_body_bytes = 4096;
    /// Number of requests over which the bytes are averaged.
    double averaged_requests = 2000;
    /// The assumed bytes change only when the average differs from them by more than this factor, so that answers to
    /// lookups rarely change and hosts mostly agree.
    double bytes_step = 2;
    /// Hosts whose weights differ by at most this factor are of one kind.
    double kind_step = 1.5;
    /// Hosts that an answer to a lookup names at least: enough for a caller that two of them fail.
    std::size_t min_hosts = 3;
};

/// Weighs entry hosts by the requests per second for which they have room, and selects the hosts of lookup answers.
///
/// Designed for fleets in which some hosts have a fraction of the link and the processor of others. Where all hosts
/// were named alike, answers of 90 kB delayed all callers of a host with 10 Mbit/s.
///
/// A host's weight is the reciprocal of the time for which one mean request occupies its processor and its link, so the
/// scarcer of the two decides. The link counts only where it is known for all candidates.
class host_rooms {
public:
    explicit host_rooms(host_rooms_options options = {})
        : m_options(options), m_mean_bytes(options.initial_body_bytes), m_body_bytes(options.initial_body_bytes) {}

    /// Records the bytes of the bodies of a request and its response.
    void record_bytes(std::size_t bytes) noexcept;

    /// Bytes of the bodies of one request on which the weights are based.
    double body_bytes() const noexcept { return m_body_bytes; }

    /// Requests per second for which each host has room. Equal weights if all hosts are of one kind.
    std::vector<double> weights(std::span<const entry_host> hosts) const;

    /// Returns the hosts that an answer to the caller names, in the order of the candidates: all of them if they are of
    /// one kind. Over many callers each host is named in proportion to its weight, but at most once in every answer. A
    /// caller's answer changes little when a host joins or leaves.
    std::vector<entry_host> select(std::vector<entry_host> candidates, std::string_view caller) const;

private:
    /// Probability with which each host is named in an answer of `count` hosts.
    static std::vector<double> inclusion_probabilities(std::span<const double> weights, std::size_t count);

    host_rooms_options m_options;
    double m_mean_bytes;
    double m_body_bytes;
};

} // namespace ragworthinge
