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

/// Bandwidth that this host may use from its own region towards others.
template <class Links>
concept link_budget = requires(Links links, const region_id& to, double megabits, time_point now) {
    { links.try_spend(to, megabits, now) } -> std::same_as<bool>;
};

/// A region that can answer requests, as seen from this host's region.
struct site {
    region_id region;
    duration one_way_latency{};
};

/// Slots of one service at one site.
struct region_capacity {
    double slots = 0;                ///< Usable slots of all failure domains.
    double largest_domain_slots = 0; ///< Usable slots of the largest failure domain.
    double in_flight = 0;            ///< Occupied slots and waiting requests.
    time_point measured_at;
};

/// Why a request is sent to a site; it decides how much of the target's capacity may be used.
enum class traffic_kind {
    unplanned, ///< Normal traffic and failover: all real capacity, never more.
    planned    ///< Shifts and drains: only what leaves the target able to lose one failure domain.
};

struct site_selector_options {
    /// Measurements older than this are unknown.
    duration measurement_lifetime = std::chrono::seconds{3};
    /// Own requests that a site with unknown capacity may run at a time. They find out whether it answers; more could
    /// overload it.
    double max_requests_at_unknown_region = 2;
    /// Part by which another site must be better before the current one is left although it has capacity.
    double min_cost_improvement = 0.2;
    /// Shortest stay at a site that has capacity. It must be at least the lookup time to live, or the choice would
    /// follow the effects of answers that are still cached.
    duration shortest_stay = std::chrono::seconds{5};
};

/// Selects the region of each request of one service.
///
/// The capacity of other sites is known only with a lag. Own requests that a measurement cannot contain yet count as
/// occupied, and a refusal by a site means no capacity until its next measurement. The site's own dispatcher has the
/// last word, so a wrong selection is a refusal as not run and never an overload of upstreams.
class site_selector {
public:
    site_selector(region_id own_region, site_selector_options options = {});

    /// Replaces the sites; measurements of sites that remain are kept. The own region is among them.
    void set_sites(std::span<const site> sites);

    /// Takes a measurement; one that is older than the current is ignored.
    void update(const region_id& region, const region_capacity& capacity);

    /// The site refused a request as not run.
    void record_refusal(const region_id& region, time_point now);

    /// A request sent there ended.
    void record_end(const region_id& region);

    /// The region for one request, or nothing when no site may take it. Spends the link's budget and counts the
    /// request as sent. O(sites).
    template <link_budget Links>
    std::optional<region_id> select(traffic_kind kind, double megabits, Links& links, time_point now) {
        if (m_own_index != no_region && has_capacity(m_records[m_own_index], traffic_kind::unplanned, now)) {
            ++m_records[m_own_index].outstanding;
            return m_own_region;
        }
        return select_remote(kind, megabits, links, now);
    }

    /// The same for a request that must leave the own region, as during a shift or drain.
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

    /// Slots that remain at a site for the kind of traffic; nothing when unknown.
    std::optional<double> remaining(const region_id& region, traffic_kind kind, time_point now) const;

private:
    static constexpr std::size_t no_region = static_cast<std::size_t>(-1);

    struct region_record {
        site description;
        std::optional<region_capacity> capacity;
        double outstanding = 0;
        double outstanding_at_update = 0;      ///< Own requests when the last measurement arrived.
        double outstanding_in_measurement = 0; ///< Own requests that the measurement contains at least.
        std::optional<time_point> refused_at;
        bool link_exhausted = false; ///< Only during one selection.
    };

    bool is_known(const region_record& record, time_point now) const;
    double remaining_slots(const region_record& record, traffic_kind kind) const;
    bool has_capacity(const region_record& record, traffic_kind kind, time_point now) const;
    double cost(const region_record& record, traffic_kind kind, time_point now) const;
    std::size_t choose_remote(traffic_kind kind, time_point now) const;
    void record_sent(std::size_t index, time_point now);
    std::size_t index_of(const region_id& region) const;

    region_id m_own_region;
    site_selector_options m_options;
    std::vector<region_record> m_records;
    std::unordered_map<region_id, std::size_t> m_indices;
    std::size_t m_own_index = no_region;
    std::size_t m_current_index = no_region; ///< Remote site in use.
    time_point m_current_selected_at;
};

} // namespace ragworthinge
