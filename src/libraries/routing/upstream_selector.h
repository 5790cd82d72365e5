#pragma once

#include "base/identifiers.h"
#include "base/time.h"
#include "configuration/fleet_configuration.h"
#include "routing/health_tracker.h"
#include "routing/queue_entry.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace ragworthinge {

struct upstream_selector_options {
    health_tracker_options health;
    /// Time over which the allowed slots of a cold upstream grow to all of its slots.
    duration ramp = std::chrono::seconds{10};
    /// Part of the slots allowed at the start of the ramp; at least one slot is.
    double ramp_start_fraction = 0.25;
    /// An upstream without a request for this long counts as cold again.
    duration cold_after_idle = std::chrono::minutes{10};
    /// Time after the deadline for which an unconfirmed request keeps its slot.
    duration grace = std::chrono::milliseconds{500};
    /// Time after which an upstream that shed load is allowed one more slot.
    duration shed_recovery = std::chrono::milliseconds{500};
    /// Part of the upstreams that may be ejected for error answers at the same time. When more of them answer with
    /// errors the cause is likely common to all, and ejecting the rest would turn errors into an outage.
    double max_ejected_fraction = 0.5;
    /// Whether an upstream without a slot share gets no work. The host sets it, because other hosts may hold the slots.
    bool slots_need_share = false;
};

/// Whether upstreams that become known are assumed to be warm.
enum class upstream_start {
    cold, ///< They start their ramp.
    warm  ///< Another dispatcher used them until now.
};

/// Slots of one failure domain.
struct domain_capacity {
    failure_domain_id failure_domain;
    std::uint32_t slots = 0;     ///< Usable now.
    std::uint32_t in_flight = 0; ///< Occupied, also by unconfirmed requests.
};

/// Chooses upstreams of one service in one region and accounts for their slots.
class upstream_selector {
public:
    explicit upstream_selector(upstream_selector_options options = {});

    /// Replaces the upstreams. Those missing from the new set get no new work and are forgotten when idle. `start`
    /// applies to the first set; upstreams added later are always cold.
    void configure(std::span<const upstream_configuration> upstreams, upstream_start start, time_point now);

    /// Sets how many slots of an upstream this host may use. The share may be below what is in use.
    void set_slot_share(const upstream_id& upstream, std::uint32_t slots);

    /// Marks an upstream as leaving or as active, as the platform's list says. It adds to the configuration: either
    /// of them stops new work.
    void set_listed_as_leaving(const upstream_id& upstream, bool leaving);

    void record_report(const upstream_id& upstream, const upstream_report& report);

    /// The upstream with the least own requests relative to its slots, then with the lowest latency, or nothing.
    /// Upstreams in the avoided failure domain are used only when no other has a free slot.
    std::optional<upstream_id> select(const queue_entry& entry, time_point now) const;

    /// Occupies a slot. The ticket must not be in use.
    void occupy(const upstream_id& upstream, request_ticket ticket, time_point deadline, time_point now);

    /// The upstream confirmed the end of the request: frees its slot. Unknown tickets are ignored, because the slot
    /// may have been freed by `expire` before.
    void release(request_ticket ticket, upstream_outcome outcome, time_point now);

    /// The request timed out or was cancelled, but the upstream may still run it: the slot stays occupied.
    void abandon(request_ticket ticket, upstream_outcome outcome, time_point now);

    /// Frees the slots of requests whose deadline and grace have passed. They count as timed out, also when they were
    /// cancelled: callers that give up early must not hide an upstream that never answers.
    void expire(time_point now);

    bool is_running(request_ticket ticket) const { return m_running.contains(ticket); }

    /// Whether any upstream accepts work in principle, ejected ones included.
    bool has_active_upstream() const;

    /// Requests that could start now.
    std::uint32_t free_slots(time_point now) const;

    /// Usable slots per failure domain, ordered by name.
    std::vector<domain_capacity> capacity(time_point now) const;

    /// Occupied slots of an upstream; a share must not be lowered below it.
    std::uint32_t slots_in_use(const upstream_id& upstream) const;

    upstream_health health(const upstream_id& upstream, time_point now) const;

    /// Lowest average latency among upstreams with recent observations, or nothing.
    std::optional<duration> lowest_latency(time_point now) const;

private:
    struct upstream_record {
        upstream_configuration configuration;
        bool configured = true;
        bool listed_as_leaving = false;
        std::optional<std::uint32_t> slot_share;
        health_tracker health;
        std::uint32_t in_flight = 0;
        bool warm = false;
        std::optional<time_point> ramp_started; ///< First dispatch of a cold upstream.
        std::optional<time_point> last_dispatch;
        std::optional<std::uint32_t> shed_limit; ///< Slots allowed after load was shed.
        time_point shed_limit_set;
        unsigned consecutive_sheds_at_one_slot = 0;
    };

    struct running_request {
        upstream_record* upstream = nullptr;
        time_point dispatched_at;
        time_point expires_at;
        std::optional<upstream_outcome> abandoned_as;
    };

    struct candidate {
        const upstream_record* upstream = nullptr;
        bool avoided = false;
        bool is_non_idempotent_probe = false;
        double load = 0;
        duration latency{};
    };

    static bool precedes(const candidate& left, const candidate& right);
    static bool accepts_work(const upstream_record& upstream);
    bool is_idle(const upstream_record& upstream, time_point now) const;
    std::uint32_t owned_slots(const upstream_record& upstream) const;
    std::uint32_t ramp_limit(const upstream_record& upstream, std::uint32_t slots, time_point now) const;
    std::uint32_t shed_limit(const upstream_record& upstream, std::uint32_t slots, time_point now) const;
    std::uint32_t allowed_slots(const upstream_record& upstream, bool honour_error_ejections, time_point now) const;
    bool honours_error_ejections(time_point now) const;
    void record_shed(upstream_record& upstream, time_point now) const;
    void record_end(upstream_record& upstream, upstream_outcome outcome, time_point dispatched_at, time_point now);
    void remove_idle_unconfigured();
    upstream_record* find(const upstream_id& upstream) const;

    upstream_selector_options m_options;
    bool m_configured_once = false;
    std::map<upstream_id, std::unique_ptr<upstream_record>> m_upstreams;
    std::unordered_map<request_ticket, running_request> m_running;
    std::set<std::pair<time_point, request_ticket>> m_expiries;
};

} // namespace ragworthinge
