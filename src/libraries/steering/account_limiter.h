#pragma once

#include "base/time.h"
#include "steering/fleet_membership.h"
#include "steering/steering_table.h"

#include <map>
#include <vector>

namespace ragworthinge {

struct account_limiter_options {
    /// Time constant of the demand average. Short compared to the platform's measurement window of 5 s.
    duration demand_time_constant = std::chrono::milliseconds(1000);
    /// Fraction of the burst with which a new share starts, because it is unknown what an earlier incarnation of this
    /// host has spent.
    double initial_fill = 0.5;
    /// Fraction of an account's rate that is divided equally among the live hosts, so that the first request after a
    /// pause finds a token.
    double equal_fraction = 0.08;
    /// Fraction of each limit that is not divided but kept in a pool at one host, from which the others request tokens
    /// when their own share is used up. A host's share of a small account's burst is about one token, too little for
    /// random arrivals.
    double pooled_fraction = 0.5;
    /// Minimum pause between pool requests after a refusal, so that an account far over its rate does not cause a
    /// message per request.
    duration min_pool_backoff = std::chrono::milliseconds(50);
    /// Maximum pause between pool requests after a refusal: by then another host may own the pool, or the same owner
    /// may have a larger share of it.
    duration max_pool_backoff = std::chrono::milliseconds(400);
};

/// Reply of the host that owns an account's pool.
struct pool_grant {
    unsigned tokens = 0;    ///< Granted tokens.
    duration next_token{0}; ///< Time until the pool has its next token, if none was granted.
};

/// Divides the rate and burst of each client account among the hosts, in proportion to the demand that they report. The
/// rest is kept in one pool per account, at a host that all hosts determine by the same ranking of the live hosts.
///
/// A host that is not live may spend an equal share of the limit and no more, because partitioned hosts reserve just
/// that for one another. So the sum stays within the limit even while hosts are partitioned, frozen or restarted. The
/// only excess comes from reports that lag by half a second while demand moves, and is bounded by the demand that
/// moved.
///
/// Designed for one account at several times its rate, spread unevenly over the hosts.
class account_limiter {
public:
    explicit account_limiter(account_limiter_options options = {}) : m_options(options) {}

    /// Adds an arriving request to the account's demand.
    void record_demand(const account_id& account, time_point now);

    /// Takes a token from this host's own share. Returns false if the share is used up.
    bool try_take(const steering_account& account, time_point now);

    /// Whether a pool request is allowed now, i.e. no refusal of the pool is in its back-off time.
    bool may_request_from_pool(const account_id& account, time_point now) const;

    /// Processes the pool's reply: spends one granted token on the waiting request and adds the rest to the own share,
    /// or starts the back-off after a refusal.
    void apply_grant(const account_id& account, const pool_grant& granted, time_point now);

    /// Grants tokens from the account's pool if this host owns it. Used for peers and for this host itself.
    pool_grant grant(const steering_account& account, time_point now);

    /// Returns the host that owns the account's pool.
    static host_id pool_owner(const account_id& account, const fleet_membership& fleet, time_point now);

    /// Returns a token to the own share because the request was not executed.
    void refund_token(const account_id& account);

    /// Returns the time until the own share has its next token.
    duration time_to_token(const steering_account& account, time_point now);

    /// Recomputes this host's share of each account's limit from the reports.
    void update_shares(const steering_table& table, const fleet_membership& fleet, time_point now);

    /// Returns the shares of the accounts' limits that this host may spend, including the pools that it owns.
    std::map<account_id, double> shares() const;

    /// Returns this host's part of the fleet's demand, for each set of regions that accounts are bound to, as of the
    /// last update of the shares.
    const std::map<std::vector<region_id>, double>& demand_shares() const noexcept { return m_demand_shares; }

    /// Returns the demands for this host's report. Shares are computed from the last reported demand, not from the
    /// current one: while demand rises everywhere, each host would otherwise weigh its own new demand against the old
    /// demand of the others, and the shares would sum to more than the limit.
    std::vector<account_demand> report_demands(time_point now);

private:
    /// Token bucket for a share of an account's limit.
    struct bucket {
        double share = 0; ///< Share of the account's limit, 0 to 1.
        double tokens = 0;
        time_point refilled_at;

        void refill(const steering_account& account, time_point now);
        duration time_to_token(const steering_account& account) const;
    };

    struct account_state {
        double demand = 0;          ///< Requests per second, decaying average.
        double reported_demand = 0; ///< The average in the last report.
        double previous_demand = 0; ///< The average in the report before the last.
        time_point demand_at;
        bucket own;
        bucket pool; ///< Its share is zero while another host owns the pool.
        time_point pool_backoff_until;
        bool is_started = false;
    };

    double decayed_demand(account_state& state, time_point now) const;
    const host_id& cached_pool_owner(const account_id& account, const host_id& self);
    account_state& state_of(const steering_account& account, time_point now);

    account_limiter_options m_options;
    bool m_uses_reporters = false; ///< Whether reports reach other regions through reporters.
    double m_default_share = 0;    ///< Initial share of a new account; zero until the number of hosts is known.
    std::map<account_id, account_state> m_accounts;
    std::map<std::vector<region_id>, double> m_demand_shares;
    std::vector<host_id> m_eligible_pool_owners; ///< Hosts eligible to own pools at the last update.
    std::map<account_id, host_id>
        m_pool_owners; ///< Cached pool owner per account, since ranking all hosts for each account is slow.
};

} // namespace ragworthinge
