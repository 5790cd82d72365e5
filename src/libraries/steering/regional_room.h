#pragma once

#include "base/identifiers.h"
#include "base/time.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>

namespace ragworthinge {

struct regional_room_options {
    /// Time constant of the average load.
    duration load_time_constant = std::chrono::milliseconds(500);
    /// Requests per slot at which this host's part of the slots neither grows nor shrinks: as many as the upstreams can
    /// work on at the same time.
    double target_load = 1.2;
    /// Bounds of the factor on this host's part. It is below 1 while other requests use the same upstreams, and above 1
    /// while other hosts do not use their parts. At the maximum the part does not bind.
    double min_factor = 0.2;
    double max_factor = 4;
    /// Time in which the factor changes by the power e if the load is off by one request per slot. Long compared to the
    /// time until the load of a change is known to all hosts, up to 1.6 s.
    duration factor_time_constant = std::chrono::seconds(6);
    /// Time constant with which requests are counted.
    duration count_time_constant = std::chrono::seconds(5);
    /// Weight of the newest sample in the average time of an attempt.
    double average_weight = 0.1;
};

/// The upstreams that a room consists of.
struct room_state {
    double own_slots = 0; ///< This host's part of their slots.
    double load = 0;      ///< Requests per slot that they are believed to have.
};

/// This host's part of the slots that one service has in some regions, for requests that are bound to these regions.
///
/// Such requests cannot go elsewhere, and what hosts believe of an upstream's load is older than the requests that fill
/// its queue. So in a shortage each host sends no more at a time than its part of the slots, and what is beyond it is
/// refused at once. Accounts get max-min fair shares of the part.
///
/// Designed for an account that sends several times what its region can serve, beside small accounts of the same
/// region.
class regional_room {
public:
    explicit regional_room(regional_room_options options = {}) : m_options(options) {}

    void update(const room_state& state, time_point now);

    /// Whether the upstreams have more requests than slots, or had until recently, so that this host's part binds.
    bool is_short() const noexcept { return m_factor < m_options.max_factor; }

    /// Requests that this host may have in flight in a shortage; on average, so not a whole number.
    double limit() const noexcept { return m_own_slots * m_factor; }

    /// Whether a request of the account may be sent now although the room is short: while this host's part is not used
    /// up, or because the account asks for no more than its fair share.
    bool may_send(const account_id& account, time_point now);

    /// Returns the time until this host's part has room for another request.
    duration expected_wait(time_point now);

    /// Counts an arriving request of the account.
    void record_demand(const account_id& account, time_point now);

    /// Records whether a request was refused because the room is short.
    void record_decision(bool is_refused, time_point now);

    /// Fraction of the recent requests that were refused because the room is short.
    double refused_fraction(time_point now) const;

    void record_start(time_point now);

    /// Records the end of an attempt. `taken` is the time until its response; absent if there was none.
    void record_end(std::optional<duration> taken, time_point now);

private:
    /// Number of events, each of which counts less with its age.
    struct decayed_count {
        double amount = 0;
        time_point counted_at;
    };

    /// Events per second.
    double rate_of(const decayed_count& count, time_point now) const;
    void add_to(decayed_count& count, time_point now) const;

    bool is_part_used_up() const noexcept;

    /// Whether the account asks for no more than what remains of an equal division of this host's part among the
    /// accounts once those that ask for less have been given all they ask for.
    bool is_within_fair_share(const account_id& account, time_point now) const;

    /// Accounts for the time since the last call.
    void advance(time_point now);

    regional_room_options m_options;
    double m_own_slots = 1;
    double m_factor = m_options.max_factor;
    double m_load = 0;
    std::size_t m_in_flight = 0;
    /// Seconds for which one request more than the whole part of the limit may be in flight, so that a host whose limit
    /// is not a whole number keeps to it on average.
    double m_credit = 0;
    double m_typical_seconds = 1; ///< Average time of an attempt.
    std::map<account_id, decayed_count> m_demands;
    decayed_count m_decisions;
    decayed_count m_refusals;
    std::optional<time_point> m_advanced_at;
};

} // namespace ragworthinge
