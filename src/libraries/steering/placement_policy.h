#pragma once

#include "base/time.h"
#include "steering/cold_start_limiter.h"
#include "steering/fleet_state.h"
#include "steering/object_copies.h"
#include "steering/processing_time_estimator.h"
#include "steering/regional_room.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace ragworthinge {

struct placement_options {
    region_id own_region;
    /// Assumed round-trip time to another region until it is measured. The two sites have 12 and 20 ms one way.
    duration initial_region_distance = std::chrono::milliseconds(30);
    /// Additional cost of another region, since links between regions are limited and priced: per request, and per kB
    /// of the route's average response. At the users' prices, 90 kB across regions cost nine tenths of an in-time
    /// response, and an in-time response instead of a late one is worth what a known object saves, about 0.6 s.
    duration region_transfer_cost = std::chrono::milliseconds(60);
    duration kilobyte_transfer_cost = std::chrono::milliseconds(7);
    /// Cost of a new connection besides its round trip, since it occupies a slot of the upstream briefly and is priced.
    /// At the users' prices it costs between a sixtieth and a twelfth of an in-time response.
    duration new_connection_cost = std::chrono::milliseconds(25);
    /// Weight of the processing time of an unknown object when upstreams are compared. Above 1, since the object also
    /// takes space in the upstream's cache.
    double unknown_object_weight = 1.2;
    /// The same weight in the caller's region for responses that are expensive to transfer. A copy in the region spares
    /// later requests the transfer from another region, so only about half of the time is attributed to this request.
    double regional_copy_weight = 0.5;
    /// Cost per rank for an unknown object, as a fraction of the processing time. Makes all hosts use the same few
    /// upstreams for each object.
    double rank_cost = 0.3;
    /// Cost per rank for a known object. Keeps the number of upstreams per object small, since each caches only some
    /// objects.
    double known_rank_cost = 0.04;
    /// Cost of a failing upstream: failure ratio times this weight times the processing time. One failure after many
    /// successes makes it cost more than loading the object into another cache.
    double failure_weight = 4.5;
    /// Average response size from which an upstream in the caller's region should know the object. At the users'
    /// prices, transferring 5 kB between regions costs an eighth of an in-time response, and loading an object into an
    /// upstream's cache costs one response.
    double local_copy_bytes = 3000;
    /// Minimum time between two requests that this host places in its own region to load an object there. Requests may
    /// change their region only slowly: at most 0.15 of a region's requests in 2 s.
    duration local_copy_pause = std::chrono::milliseconds(1500);
    /// Multiple of the processing time of an unknown object that the remaining time must allow, so that the caller's
    /// deadline is not risked for the sake of a shorter path.
    double local_copy_margin = 1.5;
    /// Weight of an upstream's load when requests are spread over the copies of a popular object, as a fraction of the
    /// processing time for a full upstream.
    double copy_load_weight = 0.5;
    /// Interval at which the hosts of the own region are counted.
    duration region_count_interval = std::chrono::seconds(1);
    /// Cost of an upstream whose region is short of room for requests that may not go elsewhere: the fraction of those
    /// that are refused, times this weight times the processing time.
    double scarce_region_weight = 2;
    double cold_processing_factor =
        2; ///< Factor on the processing time of a cold upstream, which takes about twice as long.
};

/// A request to be assigned to an upstream.
struct placement_request {
    const steering_route* route = nullptr;
    service_id service;
    std::optional<std::uint64_t> object;
    const std::vector<region_id>* account_regions = nullptr; ///< Null: all regions.
    std::vector<upstream_id> tried;
    time_point answer_by;
    /// Regions that are short of room for requests that are bound to them, with the fraction of those that are refused.
    /// A request that may also use other regions leaves the room to them.
    std::map<region_id, double> scarce_regions{};
};

enum class placement_kind {
    send,        ///< Send to the given upstream.
    wait,        ///< A cold upstream is at its rate limit; it may take the request in time.
    too_late,    ///< No upstream can respond in time, or only one that would have to load the object while it is busy.
    no_upstream, ///< No upstream is usable.
};

struct placement {
    placement_kind kind = placement_kind::no_upstream;
    std::shared_ptr<observed_upstream> upstream;
    duration expected_processing{0}; ///< Without waiting time.
    duration expected_wait{0};
    duration distance{0};
    double load = 0; ///< Requests that the upstream was believed to have when it was chosen.
    bool knows_object = false;
    std::size_t candidates = 0; ///< Number of usable upstreams that were compared.
    double slots = 0;           ///< Slots of these upstreams.
    double requests = 0;        ///< Requests that these upstreams are believed to have; at most two per slot of each.
    std::shared_ptr<regional_room> room{}; ///< Room that the request takes; null if it is not bound to some regions.
    std::optional<time_point> quiet_until; ///< When the first of the upstreams that asked for quiet may get requests.
};

/// Hash that identifies an object of a route. An upstream that has handled an object for one route has to load it again
/// for another, so routes do not share objects.
std::uint64_t object_hash(const steering_route& route, std::string_view affinity);

/// Chooses the upstream that is expected to respond first: network distance, waiting time and processing time are added
/// up.
///
/// Designed for skewed objects (an object goes to the upstreams that know it until waiting there costs more than
/// loading it into the cache of another one), bursts (an object is loaded into further caches only on free slots, since
/// a busy fleet that loads objects anew gets busier), upstreams that become slow or fail (their processing time counts
/// several times), uneven regions (distance is weighed against processing and waiting time instead of taking
/// precedence), popular objects (the number of upstreams that know one follows its demand), and mass restarts (all
/// hosts rank the upstreams of an object alike, so that each object is loaded into few caches).
class placement_policy {
public:
    /// Whether this host has an open connection to the upstream that requests of the route may use.
    using connection_check = std::function<bool(const upstream_id&, const steering_route&)>;

    explicit placement_policy(placement_options options) : m_options(std::move(options)) {}

    /// Without a check, all upstreams are treated as connected.
    void on_connection_check(connection_check check) { m_is_connected = std::move(check); }

    placement choose(const placement_request& request, const fleet_state& fleet, const fleet_membership& membership,
                     processing_time_estimator& processing_times, time_point now);

    /// Records the time that a connection to the region took.
    void record_distance(const region_id& region, duration round_trip);

    duration distance_to(const region_id& region) const;

private:
    /// An upstream that may receive the request, with its score in the ranking.
    struct candidate {
        std::shared_ptr<observed_upstream> upstream;
        std::uint64_t score = 0;
    };

    /// Best rank first.
    struct candidate_list {
        std::vector<candidate> ranked;
        bool any_rate_limited = false;         ///< Whether a cold upstream was excluded by its rate limit.
        std::optional<time_point> quiet_until; ///< When the first upstream that was excluded as quiet may get requests.
    };

    candidate_list list_candidates(const placement_request& request, const fleet_state& fleet,
                                   const fleet_membership& membership, time_point now) const;

    /// Counts the hosts of the own region, at intervals.
    void count_region_hosts(const fleet_membership& membership, time_point now);

    /// Number of upstreams that should know the request's object.
    std::size_t wanted_copies(const candidate_list& list, const placement_request& request,
                              const processing_time& typical, time_point now) const;

    /// Whether the request should load a further copy of a popular object on a free slot. It does so only if it still
    /// meets its target there, or would miss it at the best upstream that knows the object.
    bool is_wanted_copy(const placement& best, const placement& copy, const placement_request& request,
                        time_point now) const;

    /// Whether an upstream knows the object and is neither so slow nor failing so often that one that has to load it
    /// would serve the request sooner.
    bool is_known_to_sound_upstream(const candidate_list& list, const placement_request& request,
                                    const processing_time& typical, time_point now) const;

    /// Estimates how the upstream would serve the request; the kind is `too_late` if it cannot respond in time.
    placement evaluate_upstream(const std::shared_ptr<observed_upstream>& upstream, const placement_request& request,
                                const processing_time& typical, time_point now) const;
    duration cost_of(const placement& option, const placement_request& request, const processing_time& typical,
                     std::size_t rank, std::size_t wanted, time_point now) const;
    /// Cost of transferring an average response between regions, in addition to the fixed cost.
    duration transfer_cost(const processing_time& typical) const;

    /// Whether responses are so large that each region should have upstreams that know the object.
    bool is_regional(const processing_time& typical) const;
    bool wants_local_copy(const placement& best, const processing_time& typical, const placement_request& request,
                          time_point now) const;
    bool is_allowed(const observed_upstream& upstream, const placement_request& request) const;

    placement_options m_options;
    connection_check m_is_connected;
    cold_start_limiter m_cold_start_limiter;
    std::map<region_id, duration> m_distances;
    time_point m_last_local_copy;
    object_copies m_copies;
    std::size_t m_region_hosts = 1;
    std::optional<time_point> m_region_hosts_counted_at;
};

} // namespace ragworthinge
