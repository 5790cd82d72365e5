#pragma once

#include "base/time.h"
#include "steering/cold_gate.h"
#include "steering/fleet_state.h"
#include "steering/work_estimate.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace ragworthinge {

struct placement_options {
    region_id own_region;
    /// Requests beyond its slots that an upstream may hold, as a part of its slots. Source: the users' upstreams queue
    /// three times their slots and shed the rest; views of hosts lag, so a third of that stays unused.
    double waiting_part = 2.0;
    /// Time to another region and back until it is measured. Source: 12 and 20 ms one way at the two sites.
    duration first_region_distance = std::chrono::milliseconds(30);
    /// Extra cost of another region, since links between regions are limited and priced: for each request, and for each
    /// kB of the answers that its route usually gets. Source: at the users' prices 90 kB across regions cost nine
    /// tenths of an answer in time, and an answer in time rather than late is worth what a known object saves, about
    /// 0.6 s.
    duration region_crossing_cost = std::chrono::milliseconds(60);
    duration kilobyte_crossing_cost = std::chrono::milliseconds(7);
    /// Cost of a new connection besides its round trip: it holds a slot of the upstream for a moment, and is priced.
    /// Source: at the users' prices it costs between a sixtieth and a twelfth of an answer in time.
    duration new_connection_cost = std::chrono::milliseconds(25);
    /// Weight of the work on an unknown object when upstreams are compared. Above 1, since it also takes a place in the
    /// upstream's memory of objects.
    double unknown_object_weight = 1.2;
    /// The same in the caller's region for answers that are dear to move: what is learnt there spares later requests
    /// the way to another region, so about half of it counts for this one.
    double regional_copy_weight = 0.5;
    /// Cost of each place in the ranking for an unknown object, as a part of the work; keeps all hosts on the same few
    /// upstreams per object.
    double rank_cost = 0.3;
    /// The same for a known object; keeps the number of upstreams per object small, since each knows only some objects.
    double known_rank_cost = 0.04;
    /// Cost of a failing upstream: failure ratio times this times the work.
    double failure_weight = 3;
    /// Answers of at least this average size are worth an upstream in the caller's region that knows the object.
    /// Source: at the users' prices a crossing of 5 kB costs an eighth of an answer in time, teaching an upstream one
    /// answer.
    double near_copy_bytes = 3000;
    /// Pause between two such upstreams that this host teaches. Requests must change their region slowly: at most 0.15
    /// of a region's requests in 2 s.
    duration near_copy_pause = std::chrono::milliseconds(1500);
    /// An unknown object must fit this many times into the time left, or the caller would pay for the shorter way.
    double near_copy_margin = 1.5;
    double cold_work_factor = 2; ///< Work on a cold upstream takes about twice the time.
};

/// A request that needs an upstream.
struct placement_request {
    const steering_route* route = nullptr;
    service_id service;
    std::optional<std::uint64_t> object;
    const std::vector<region_id>* account_regions = nullptr; ///< Null: all regions.
    std::vector<upstream_id> tried;
    time_point answer_by;
};

enum class placement_kind {
    send,        ///< To the upstream given.
    wait,        ///< All usable upstreams are full; one may be free in time.
    too_late,    ///< No upstream can answer in time.
    no_upstream, ///< Nothing is usable at all.
};

struct placement {
    placement_kind kind = placement_kind::no_upstream;
    std::shared_ptr<observed_upstream> upstream;
    duration expected_work{0}; ///< Without waiting.
    duration expected_wait{0};
    duration distance{0};
    bool knows_object = false;
    std::size_t candidates = 0; ///< Usable upstreams that were compared.
};

/// Identifies an object within a service.
std::uint64_t object_of(std::string_view service, std::string_view affinity);

/// Chooses the upstream that should answer a request soonest: distance, waiting and work are times that add up.
///
/// Answers these load patterns: skewed objects (an object goes to the upstreams that know it until waiting there costs
/// more than teaching another one), upstreams that turn slow or fail (their work counts several times), uneven regions
/// (distance is compared with work and waiting instead of going first), and mass restarts (all hosts rank the upstreams
/// of an object alike, so that each object is learnt few times).
class placement_policy {
public:
    /// Whether this host has an open connection to the upstream that the route's requests may use.
    using connection_check = std::function<bool(const upstream_id&, const steering_route&)>;

    explicit placement_policy(placement_options options) : m_options(std::move(options)) {}

    /// Without a check every upstream counts as connected.
    void on_connection_check(connection_check check) { m_is_connected = std::move(check); }

    placement choose(const placement_request& request, const fleet_state& fleet, const fleet_membership& membership,
                     work_estimate& work, time_point now);

    /// Time that a connection to the region took.
    void record_distance(const region_id& region, duration round_trip);

    duration distance_to(const region_id& region) const;

private:
    /// An upstream that may get the request, with its score in the ranking.
    struct candidate {
        std::shared_ptr<observed_upstream> upstream;
        std::uint64_t score = 0;
    };

    /// Best rank first.
    struct candidate_list {
        std::vector<candidate> ranked;
        bool some_limited = false; ///< A cold upstream may not get one just now.
    };

    candidate_list list_candidates(const placement_request& request, const fleet_state& fleet,
                                   const fleet_membership& membership, time_point now) const;

    /// What the upstream could do for the request; too_late if that is not in time.
    placement make_offer(const std::shared_ptr<observed_upstream>& upstream, const placement_request& request,
                         const work_time& typical, time_point now) const;
    duration cost_of(const placement& offer, const placement_request& request, const work_time& typical,
                     std::size_t rank, time_point now) const;
    /// Cost of moving a usual answer between regions, besides the fixed one.
    duration transfer_cost(const work_time& typical) const;

    /// Whether the answers are so large that each region should have upstreams that know the object.
    bool is_regional(const work_time& typical) const;
    bool wants_near_copy(const placement& best, const work_time& typical, const placement_request& request,
                         time_point now) const;
    bool is_allowed(const observed_upstream& upstream, const placement_request& request) const;

    placement_options m_options;
    connection_check m_is_connected;
    cold_gate m_cold_gate;
    std::map<region_id, duration> m_distances;
    time_point m_last_near_copy;
};

} // namespace ragworthinge
