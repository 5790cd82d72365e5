#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace ragworthinge {

struct object_copies_options {
    /// Time constant with which the demand of an object is forgotten. Copies have to follow demand that moves to
    /// another object within a few seconds, since callers wait no longer.
    duration demand_lifetime = std::chrono::seconds(2);
    /// Part of an upstream's slots that one object may occupy. The rest serves the other objects that it knows.
    double slot_share = 0.5;
    /// Number of standard deviations by which the demand counted here may exceed the true one.
    double count_uncertainty = 1.5;
    /// Minimum time between two requests of this host that load further copies of the same object. The upstream is
    /// known to the other hosts only after it has answered and the next reports have arrived.
    duration load_pause = std::chrono::milliseconds(500);
    /// Maximum number of objects whose demand is counted.
    std::size_t object_limit = 4000;
};

/// Number of requests for an object, and the capacity that serves them.
struct object_capacity {
    std::size_t hosts = 1;       ///< Hosts that get such requests, this one included.
    duration known_processing{}; ///< Processing time where the object is known.
    unsigned slots = 1;          ///< Slots of an upstream.
};

/// Counts the demand per object and says how many upstreams should know it.
///
/// Designed for skewed and moving objects: the number follows the slots that the object's requests occupy, and falls
/// again with them. All hosts of a region get a like share of its callers, so each extrapolates from its own requests
/// and no message is needed.
class object_copies {
public:
    explicit object_copies(const object_copies_options& options = {}) : m_options(options) {}

    /// Records that a request for the object was sent.
    void record_request(std::uint64_t object, time_point now);

    /// Returns the number of upstreams that should know the object, at least 1.
    std::size_t wanted_copies(std::uint64_t object, const object_capacity& capacity, time_point now) const;

    /// Whether this host may load a further copy now.
    bool may_load(std::uint64_t object, time_point now) const;

    /// Records that a request was sent to load a further copy.
    void record_load(std::uint64_t object, time_point now);

private:
    struct demand {
        double count = 0; ///< Requests, decayed until `counted_at`.
        time_point counted_at;
        time_point loaded_at;
    };

    double decayed_count(const demand& known, time_point now) const;
    void remove_idle(time_point now);

    object_copies_options m_options;
    std::unordered_map<std::uint64_t, demand> m_demands;
};

} // namespace ragworthinge
