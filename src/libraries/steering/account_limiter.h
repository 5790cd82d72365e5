#pragma once

#include "base/time.h"
#include "steering/fleet_membership.h"
#include "steering/steering_table.h"

#include <map>
#include <vector>

namespace ragworthinge {

struct account_limiter_options {
    /// Time constant of the demand average. Short against the platform's window of 5 s.
    duration demand_time = std::chrono::milliseconds(1000);
    /// Part of the burst with which a new share starts: what an earlier run of this host spent is unknown.
    double first_fill = 0.5;
    /// Part of an account's rate that is divided equally among the hosts that are heard, so that a first request after
    /// a pause finds a token.
    double equal_part = 0.08;
    /// Part of each limit that is not divided but kept in a pool at one host, which the others ask when their own part
    /// is used up. A host's part of a small account's burst is about one token, too little for arrivals at random.
    double pooled_part = 0.5;
    /// After a refusal the pool is not asked again for at least this long, so that an account far over its rate does
    /// not cause a message per request.
    duration shortest_pool_pause = std::chrono::milliseconds(50);
    /// And for no longer than this: another host may keep the pool by then, or the same one with a larger part of it.
    duration longest_pool_pause = std::chrono::milliseconds(400);
};

/// Answer of the host that keeps an account's pool.
struct pool_answer {
    unsigned tokens = 0;    ///< Granted.
    duration next_token{0}; ///< Time until the pool has another, if none was granted.
};

/// Divides the rate and burst of each client account among the hosts, in proportion to the demand that they report, and
/// keeps the rest in a pool per account at one host, the same by everyone's ranking of the hosts that are heard.
///
/// A host that is not heard may spend an equal part of the limit and no more, because hosts that cannot hear each other
/// grant one another just that. So the sum stays within the limit also while hosts are cut off, frozen or restarted;
/// reports that lag by half a second while demand moves are the only excess, bounded by the demand that moved.
///
/// Answers the load pattern of one account at several times its rate, spread unevenly over the hosts.
class account_limiter {
public:
    explicit account_limiter(account_limiter_options options = {}) : m_options(options) {}

    /// Counts an arriving request towards the account's demand.
    void record_demand(const account_id& account, time_point now);

    /// Takes a token; false if the account is over its rate at this host.
    bool try_take(const steering_account& account, time_point now);

    /// Whether the pool may be asked now: it has not refused just before.
    bool may_ask_pool(const account_id& account, time_point now) const;

    /// Uses up what the pool granted, one token for the request that asked.
    void take_granted(const account_id& account, const pool_answer& answer, time_point now);

    /// Grants tokens of the account's pool, if this host keeps it. For peers and for this host itself.
    pool_answer grant(const steering_account& account, time_point now);

    /// The host that keeps the account's pool.
    static host_id pool_keeper(const account_id& account, const fleet_membership& fleet, time_point now);

    /// Gives a token back: the request did not run.
    void give_back(const account_id& account);

    /// Time until the next token.
    duration time_to_token(const steering_account& account, time_point now);

    /// Recomputes this host's part of each account's limit from the reports.
    void update_shares(const steering_table& table, const fleet_membership& fleet, time_point now);

    /// Parts of the accounts' limits that this host may spend, its pools included.
    std::map<account_id, double> shares() const;

    /// For this host's report. The shares count what was reported last and not the present demand: while demand rises
    /// everywhere, each host would otherwise weigh its own new demand against the old demand of the others, and the
    /// shares would add up to more than the limit.
    std::vector<account_demand> report_demands(time_point now);

private:
    /// Tokens that fill up with time.
    struct bucket {
        double share = 0; ///< Part of the account's limit, 0 to 1.
        double tokens = 0;
        time_point filled_at;

        void refill(const steering_account& account, time_point now);
        duration time_to_token(const steering_account& account) const;
    };

    struct account_state {
        double demand = 0;          ///< Requests per second, averaged.
        double reported_demand = 0; ///< The same in the last report.
        double previous_demand = 0; ///< The same in the report before that.
        time_point demand_at;
        bucket own;
        bucket pool; ///< Share zero while another host keeps it.
        time_point pool_paused_until;
        bool is_started = false;
    };

    double faded_demand(account_state& state, time_point now) const;
    const host_id& cached_keeper(const account_id& account, const host_id& self);
    account_state& state_of(const steering_account& account, time_point now);

    account_limiter_options m_options;
    bool m_is_relayed = false;  ///< Reports reach other regions through reporters.
    double m_default_share = 0; ///< Of an account that appears; zero until the number of hosts is known.
    std::map<account_id, account_state> m_accounts;
    std::vector<host_id> m_keepers;            ///< Hosts that could keep pools at the last update.
    std::map<account_id, host_id> m_keeper_of; ///< Chosen from them; ranking all hosts per account is slow.
};

} // namespace ragworthinge
