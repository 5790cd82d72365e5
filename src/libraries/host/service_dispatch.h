#pragma once

#include "base/identifiers.h"
#include "host/account_rates.h"
#include "host/configuration_snapshot.h"
#include "host/load_average.h"
#include "host/slot_shares.h"
#include "membership/member_view.h"
#include "net/fiber_event.h"
#include "routing/dispatcher.h"

#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace ragworthinge {

/// Answer to a request that waited for a slot.
struct dispatch_decision {
    std::optional<upstream_id> upstream;                 ///< Send the request there now.
    refusal_reason reason = refusal_reason::no_upstream; ///< Without an upstream: why the request was not dispatched.
    bool moved = false; ///< Without an upstream: another host became the dispatcher; the request goes there.
};

/// Collaborators of a service_dispatch; all outlive it.
struct service_dispatch_options {
    service_id service;
    region_id region;
    account_rates& rates;
    slot_shares& slots;
};

/// The queue and upstreams of one service in this host's region: lets the fiber of each request wait for its slot.
class service_dispatch {
public:
    explicit service_dispatch(service_dispatch_options options);
    service_dispatch(const service_dispatch&) = delete;
    service_dispatch& operator=(const service_dispatch&) = delete;
    ~service_dispatch() = default;

    /// Applies a new configuration.
    void configure(const configuration_snapshot& snapshot, upstream_start start, time_point now);

    /// Whether this host is the dispatcher and should ask for all slots. When it ceases to be, the waiting requests
    /// are decided as moved.
    void set_dispatcher(bool is_dispatcher);
    bool is_dispatcher() const noexcept { return m_is_dispatcher; }

    /// Waits until the request may be sent or is refused. The caller must later call `finished`, `timed_out` or
    /// `cancelled` with the same ticket if it got an upstream.
    dispatch_decision acquire(queue_entry entry);

    /// The upstream's answer ended, or its connection is closed.
    void finished(request_ticket ticket, upstream_outcome outcome);

    /// The request was given up at its deadline; the upstream may still run it.
    void timed_out(request_ticket ticket);

    /// The caller went away; the upstream may still run the request.
    void cancelled(request_ticket ticket);

    /// Handles what follows from time alone.
    void tick(time_point now);

    /// Upstreams that a drain removes from service.
    void set_drained(const std::set<upstream_id>& drained);

    /// Load for heartbeats.
    service_load_report load(time_point now) const;

    /// Slots that could be used now, and those in use.
    std::uint32_t free_slots(time_point now) const { return m_dispatcher.upstreams().free_slots(now); }
    std::uint32_t slots_in_use() const;

    /// Slots that this host may use, free or in use.
    std::size_t waiting() const noexcept { return m_waiting.size(); }

private:
    struct waiting_request {
        fiber_event decided;
        dispatch_decision decision;
    };

    void take_shares(time_point now);
    void record_end(request_ticket ticket, bool failed, time_point now);
    void apply(const dispatcher_actions& actions, time_point now);
    void decide(request_ticket ticket, dispatch_decision decision);

    service_dispatch_options m_options;
    dispatcher<account_rates> m_dispatcher;
    std::vector<upstream_configuration> m_upstreams; ///< Of this region.
    std::unordered_map<request_ticket, waiting_request*> m_waiting;
    std::unordered_map<request_ticket, time_point> m_dispatched_at;
    load_average m_average;
    bool m_is_dispatcher = false;
};

} // namespace ragworthinge
