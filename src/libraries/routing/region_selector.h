#pragma once

#include "base/identifiers.h"
#include "base/time.h"

#include <chrono>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace ragworthinge {

/// Bandwidth that this host may use on the links from its own region to other regions.
template <class Links>
concept link_budget = requires(Links links, const region_id& to, double megabits, time_point now) {
    { links.try_spend(to, megabits, now) } -> std::same_as<bool>;
};

/// A region that can serve requests, with its latency from this host's region.
struct region_candidate {
    region_id region;
    duration one_way_latency{};
};

/// Slots of one service in one region.
struct region_capacity {
    double slots = 0;                ///< Usable slots of all failure domains.
    double largest_domain_slots = 0; ///< Usable slots of the largest failure domain.
    double in_flight = 0;            ///< Occupied slots and waiting requests.
    time_point measured_at;
};

/// Reason for which a request is sent to a region. It determines how much of the target's capacity may be used.
enum class traffic_kind {
    unplanned, ///< Normal traffic and failover may use all usable slots.
    planned    ///< Shifts and drains must leave the target able to lose one failure domain.
};

struct region_selector_options {
    /// Maximum age of a measurement. The capacity of a region without a newer one is unknown.
    duration measurement_lifetime = std::chrono::seconds{3};
    /// Maximum number of requests that this host runs at a time in a region of unknown capacity. They probe whether the
    /// region responds; more could overload it.
    double max_requests_at_unknown_region = 2;
    /// Minimum relative reduction of the cost for which a region that still has capacity is replaced by another one.
    double min_cost_improvement = 0.2;
    /// Minimum time for which a region that has capacity stays selected. It must be at least the lookup time to live;
    /// otherwise the selection would react to the effects of answers that are still cached.
    duration min_stay = std::chrono::seconds{5};
};

/// Selects the region of each request of one service.
///
/// Measurements of the capacity of other regions are delayed. Requests of this host that a measurement cannot include
/// yet count as occupied slots, and a region that refused a request has no capacity until its next measurement. The
/// dispatcher of the target region makes the final decision, so a wrong selection causes a refusal before execution and
/// never overloads upstreams.
class region_selector {
public:
    region_selector(region_id own_region, region_selector_options options = {});

    /// Replaces the regions, which include this host's own. Measurements of regions that remain are kept.
    void set_regions(std::span<const region_candidate> regions);

    /// Records a measurement. Measurements that are not newer than the current one are ignored.
    void update(const region_id& region, const region_capacity& capacity);

    /// Records that the region refused a request without executing it.
    void record_refusal(const region_id& region, time_point now);

    /// Records that a request sent to the region has ended.
    void record_end(const region_id& region);

    /// Returns the region for one request, or nullopt if no region may take it. Spends the bandwidth budget of the link
    /// and counts the request as sent. Takes linear time in the number of regions.
    template <link_budget Links>
    std::optional<region_id> select(traffic_kind kind, double megabits, Links& links, time_point now) {
        if (m_own_index != no_region && has_capacity(m_records[m_own_index], traffic_kind::unplanned, now)) {
            ++m_records[m_own_index].outstanding;
            return m_own_region;
        }
        return select_remote(kind, megabits, links, now);
    }

    /// Like `select`, for a request that must leave this host's region, for example during a shift or drain.
    template <link_budget Links>
    std::optional<region_id> select_remote(traffic_kind kind, double megabits, Links& links, time_point now) {
        std::size_t chosen = choose_remote(kind, now);
        while (chosen != no_region && !links.try_spend(m_records[chosen].description.region, megabits, now)) {
            m_records[chosen].link_exhausted = true;
            chosen = choose_remote(kind, now);
        }
        for (region_record& record : m_records)
            record.link_exhausted = false;
        if (chosen == no_region)
            return std::nullopt;
        record_sent(chosen, now);
        return m_records[chosen].description.region;
    }

    /// Returns the free slots of a region for the kind of traffic, or nullopt if its capacity is unknown.
    std::optional<double> remaining(const region_id& region, traffic_kind kind, time_point now) const;

private:
    static constexpr std::size_t no_region = static_cast<std::size_t>(-1);

    struct region_record {
        region_candidate description;
        std::optional<region_capacity> capacity;
        double outstanding = 0;                ///< Requests of this host that have not ended.
        double outstanding_at_update = 0;      ///< Value of `outstanding` when the last measurement arrived.
        double outstanding_in_measurement = 0; ///< Requests of this host that the measurement certainly includes.
        std::optional<time_point> refused_at;
        bool link_exhausted = false; ///< Set only during one call of `select_remote`.
    };

    bool is_known(const region_record& record, time_point now) const;
    double remaining_slots(const region_record& record, traffic_kind kind) const;
    bool has_capacity(const region_record& record, traffic_kind kind, time_point now) const;
    double cost(const region_record& record, traffic_kind kind, time_point now) const;
    std::size_t choose_remote(traffic_kind kind, time_point now) const;
    void record_sent(std::size_t index, time_point now);
    std::size_t index_of(const region_id& region) const;

    region_id m_own_region;
    region_selector_options m_options;
    std::vector<region_record> m_records;
    std::unordered_map<region_id, std::size_t> m_indices;
    std::size_t m_own_index = no_region;
    std::size_t m_current_index = no_region; ///< Currently selected remote region.
    time_point m_current_selected_at;
};

} // namespace ragworthinge
