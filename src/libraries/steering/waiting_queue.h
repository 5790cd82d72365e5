#pragma once

#include "base/identifiers.h"
#include "base/time.h"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <vector>

namespace ragworthinge {

using waiting_ticket = std::uint64_t;

/// A request that waits because the upstreams that could take it are cold and at their rate limit.
struct waiting_request {
    waiting_ticket ticket = 0;
    int priority = 0; ///< 0 is the most urgent.
    account_id account;
    time_point arrived_at;
    time_point target_at;    ///< A response later than this is worth less.
    time_point latest_start; ///< No upstream can respond in time if the request starts after this.
    duration min_processing{0};
};

struct waiting_queue_options {
    /// Time constant with which the counts of slots given to each account decay.
    duration account_time_constant = std::chrono::seconds(5);
};

/// Determines the order in which waiting requests of a service are sent: by priority, then the client account
/// that recently received the fewest slots, then requests that can still meet their target before late ones, then the
/// earliest deadline.
///
/// Designed for bursts above capacity and for one account that sends several times its usual rate: urgent requests go
/// first, no account starves behind a large one, and slots are not spent on requests that are already late.
class waiting_queue {
public:
    explicit waiting_queue(waiting_queue_options options = {}) : m_options(options) {}

    void push(waiting_request request) { m_requests.push_back(std::move(request)); }

    /// Removes a request; returns false if it is not waiting.
    bool remove(waiting_ticket ticket);

    /// Returns the tickets in the order in which they should be tried now.
    std::vector<waiting_ticket> order(time_point now);

    /// Counts a slot given to the account.
    void record_slot(const account_id& account, time_point now);

    /// Returns the number of requests that go before a new one of the given priority.
    std::size_t count_ahead_of(int priority) const;

    std::size_t size() const noexcept { return m_requests.size(); }
    bool empty() const noexcept { return m_requests.empty(); }

private:
    struct served_count {
        double amount = 0;
        time_point counted_at;
    };

    double served(const account_id& account, time_point now) const;

    waiting_queue_options m_options;
    std::list<waiting_request> m_requests;
    std::map<account_id, served_count> m_served;
};

} // namespace ragworthinge
