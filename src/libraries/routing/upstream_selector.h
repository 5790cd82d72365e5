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
    /// Duration of the ramp, during which the allowed slots of a cold upstream grow to all of its slots.
    duration ramp = std::chrono::seconds{10};
    /// Fraction of the slots allowed at the start of the ramp. At least one slot is always allowed.
    double ramp_start_fraction = 0.25;
    /// Idle time after which an upstream is considered cold again.
    duration cold_after_idle = std::chrono::minutes{10};
    /// Time after the deadline during which a request keeps its slot unless the upstream confirms its end.
    duration grace = std::chrono::milliseconds{500};
    /// Interval at which the limit of an upstream that shed load is raised by one slot.
    duration shed_recovery = std::chrono::milliseconds{500};
    /// Maximum fraction of the upstreams up to which ejections for error responses take effect. If more are ejected,
    /// the cause is likely common to all, and ejecting the rest would turn errors into an outage.
    double max_ejected_fraction = 0.5;
    /// Whether an upstream without a slot share gets no requests. Set by the host process, because other hosts may hold
    /// the slots.
    bool require_slot_share = false;
};

/// Initial state of the upstreams in the first configuration.
enum class upstream_start {
    cold, ///< The upstreams start with a ramp.
    warm  ///< Another dispatcher used the upstreams until now.
};

/// Slots of one failure domain.
struct domain_capacity {
    failure_domain_id failure_domain;
    std::uint32_t slots = 0;     ///< Slots that are usable now.
    std::uint32_t in_flight = 0; ///< Occupied slots, including those of requests whose end is not confirmed.
};

/// Selects upstreams of one service in one region and tracks the use of their slots.
class upstream_selector {
public:
    explicit upstream_selector(upstream_selector_options options = {});

    /// Replaces the upstreams. Upstreams missing from the new set get no new requests and are removed when idle.
    /// `start` applies to the first set; upstreams added later are always cold.
    void configure(std::span<const upstream_configuration> upstreams, upstream_start start, time_point now);

    /// Sets the number of slots of an upstream that this host may use. It may be lower than the number in use.
    void set_slot_share(const upstream_id& upstream, std::uint32_t slots);

    /// Marks an upstream as leaving or active according to the platform's list. An upstream gets no new requests if
    /// either this list or the configuration marks it as leaving.
    void set_listed_as_leaving(const upstream_id& upstream, bool leaving);

    void record_report(const upstream_id& upstream, const upstream_report& report);

    /// Returns the upstream with the fewest requests of this host relative to its allowed slots, or nullopt if none has
    /// a free slot. Ties are broken by the lowest latency. Upstreams in the avoided failure domain are selected only if
    /// no other upstream has a free slot.
    std::optional<upstream_id> select(const queue_entry& entry, time_point now) const;

    /// Occupies a slot. The ticket must not be in use.
    void occupy(const upstream_id& upstream, request_ticket ticket, time_point deadline, time_point now);

    /// Frees the slot of a request whose end the upstream confirmed. Unknown tickets are ignored, because `expire` may
    /// have freed the slot earlier.
    void release(request_ticket ticket, upstream_outcome outcome, time_point now);

    /// Records that a request timed out or was cancelled. The slot stays occupied, because the upstream may still run
    /// it.
    void abandon(request_ticket ticket, upstream_outcome outcome, time_point now);

    /// Frees the slots of requests whose deadline and grace period have passed. Cancelled requests also count as timed
    /// out here, because otherwise callers that cancel early would hide an upstream that never responds.
    void expire(time_point now);

    bool is_running(request_ticket ticket) const { return m_running.contains(ticket); }

    /// Whether any upstream is configured to accept requests, including ejected ones.
    bool has_active_upstream() const;

    /// Number of requests that could be dispatched now.
    std::uint32_t free_slots(time_point now) const;

    /// Returns the usable and occupied slots per failure domain, ordered by name.
    std::vector<domain_capacity> capacity(time_point now) const;

    /// Number of occupied slots of an upstream. This host must not give up slots that are still occupied.
    std::uint32_t slots_in_use(const upstream_id& upstream) const;

    upstream_health health(const upstream_id& upstream, time_point now) const;

    /// Lowest average latency among upstreams with recent observations, or nullopt.
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
        std::optional<time_point>
            ramp_started; ///< First dispatch to a cold upstream, or its recovery from an ejection.
        std::optional<time_point> last_dispatch;
        std::optional<std::uint32_t> shed_limit; ///< Slots allowed when the upstream last shed load.
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
