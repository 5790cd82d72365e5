#pragma once

#include "base/identifiers.h"
#include "base/time.h"
#include "configuration/fleet_configuration.h"
#include "routing/fair_queue.h"
#include "routing/queue_entry.h"
#include "routing/upstream_selector.h"

#include <chrono>
#include <concepts>
#include <cstddef>
#include <map>
#include <utility>
#include <variant>
#include <vector>

namespace ragworthinge {

/// Rate limiter of client accounts. The dispatcher charges one token for each dispatch and none otherwise.
template <class Limiter>
concept account_rate_limiter = requires(Limiter limiter, const account_id& account, time_point now) {
    { limiter.try_charge(account, now) } -> std::same_as<bool>;
};

struct dispatcher_options {
    fair_queue_options queue;
    upstream_selector_options upstreams;
    /// Time before an account that had no token is tried again.
    duration token_retry_interval = std::chrono::milliseconds{10};
    /// Maximum time that an entry waits for a token: one report cycle of the allocator, which may move unused shares to
    /// this host. After that the account is over its rate and its requests are refused without further delay.
    duration max_token_wait = std::chrono::milliseconds{250};
};

/// Instructs the caller to send the request to the upstream now.
struct dispatch_action {
    request_ticket ticket = 0;
    upstream_id upstream;
};

/// Instructs the caller to respond that the request was not executed.
struct refuse_action {
    request_ticket ticket = 0;
    refusal_reason reason = refusal_reason::queue_full;
};

using dispatcher_action = std::variant<dispatch_action, refuse_action>;
using dispatcher_actions = std::vector<dispatcher_action>;

/// Dispatches the requests of one service in one region. Every call that changes state returns the resulting actions.
/// Each enqueued ticket gets exactly one action unless it is cancelled while queued.
template <account_rate_limiter RateLimiter>
class dispatcher {
public:
    /// The rate limiter must outlive the dispatcher.
    explicit dispatcher(RateLimiter& rates, dispatcher_options options = {})
        : m_rates(&rates), m_options(options), m_queue(options.queue), m_upstreams(options.upstreams) {}

    /// Applies the configuration of the service; upstreams of other regions are ignored. `start` is warm if another
    /// dispatcher used the upstreams until now, for example before it crashed.
    dispatcher_actions configure(const service_configuration& service, const region_id& region,
                                 std::span<const account_configuration> accounts, upstream_start start,
                                 time_point now) {
        std::vector<upstream_configuration> local;
        for (const upstream_configuration& upstream : service.upstreams) {
            if (upstream.region == region)
                local.push_back(upstream);
        }
        std::vector<account_weight> weights;
        weights.reserve(accounts.size());
        for (const account_configuration& account : accounts)
            weights.push_back({account.name, account.weight * account.rate_per_second});

        m_upstreams.configure(local, start, now);
        m_queue.set_weights(weights);
        m_queue.set_total_limit(service.queue_limit);
        return advance(now);
    }

    /// Enqueues a request. Its ticket must not have been used before.
    dispatcher_actions enqueue(queue_entry entry, time_point now) {
        dispatcher_actions actions;
        const std::optional<refused_entry> displaced = m_queue.push(std::move(entry));
        if (displaced) {
            // If the account filled the queue for lack of tokens, its rate limit is the cause, not missing capacity.
            const bool over_rate = recently_lacked_tokens(displaced->entry.account, now);
            const refusal_reason reason = over_rate ? refusal_reason::over_rate : displaced->reason;
            actions.push_back(refuse_action{displaced->entry.ticket, reason});
        }
        advance(now, actions);
        return actions;
    }

    /// Records that the upstream confirmed the end of a dispatched request, or that its connection was closed.
    dispatcher_actions finished(request_ticket ticket, upstream_outcome outcome, time_point now) {
        m_upstreams.release(ticket, outcome, now);
        return advance(now);
    }

    /// Cancels a request. A queued request is removed without an action; a dispatched one keeps its slot until
    /// `finished` is called or its deadline and grace period have passed.
    dispatcher_actions cancel(request_ticket ticket, time_point now) {
        abandon(ticket, upstream_outcome::cancelled, now);
        return advance(now);
    }

    /// Records that a dispatched request got no response by its deadline. It keeps its slot like a cancelled request.
    dispatcher_actions timed_out(request_ticket ticket, time_point now) {
        abandon(ticket, upstream_outcome::timed_out, now);
        return advance(now);
    }

    /// Processes expired deadlines, suspensions and ramps. Call it every 10 ms while requests wait, else every second.
    dispatcher_actions tick(time_point now) { return advance(now); }

    fair_queue& queue() noexcept { return m_queue; }
    upstream_selector& upstreams() noexcept { return m_upstreams; }
    const fair_queue& queue() const noexcept { return m_queue; }
    const upstream_selector& upstreams() const noexcept { return m_upstreams; }

private:
    /// Period during which an account with queued entries had no token each time it was scheduled.
    struct token_shortage {
        time_point since;
        time_point last_failure;
    };

    void abandon(request_ticket ticket, upstream_outcome outcome, time_point now) {
        if (!m_queue.cancel(ticket))
            m_upstreams.abandon(ticket, outcome, now);
    }

    static void refuse_all(const std::vector<queue_entry>& entries, refusal_reason reason,
                           dispatcher_actions& actions) {
        for (const queue_entry& entry : entries)
            actions.push_back(refuse_action{entry.ticket, reason});
    }

    dispatcher_actions advance(time_point now) {
        dispatcher_actions actions;
        advance(now, actions);
        return actions;
    }

    void advance(time_point now, dispatcher_actions& actions) {
        m_upstreams.expire(now);
        if (!m_upstreams.has_active_upstream()) {
            refuse_all(m_queue.remove_all(), refusal_reason::no_upstream, actions);
            return;
        }
        if (m_queue.empty())
            return;
        refuse_all(m_queue.remove_missed(earliest_response(now)), refusal_reason::deadline_missed, actions);
        m_queue.resume(now);
        dispatch_waiting(now, actions);
    }

    /// Returns the earliest time at which a request dispatched now could get a response. Uses half of the lowest
    /// average latency, because some responses are faster than average and a request that can still succeed must not be
    /// refused.
    time_point earliest_response(time_point now) const {
        return now + m_upstreams.lowest_latency(now).value_or(duration::zero()) / 2;
    }

    void dispatch_waiting(time_point now, dispatcher_actions& actions) {
        while (const queue_entry* entry = m_queue.front()) {
            const std::optional<upstream_id> upstream = m_upstreams.select(*entry, now);
            if (!upstream)
                return;
            const account_id account = entry->account;
            if (!m_rates->try_charge(account, now)) {
                suspend_until_token(account, now, actions);
                continue;
            }
            const queue_entry next = m_queue.pop_front();
            m_upstreams.occupy(*upstream, next.ticket, next.deadline, now);
            actions.push_back(dispatch_action{next.ticket, *upstream});
            if (m_queue.size_of(account) == 0)
                m_token_shortages.erase(account);
        }
    }

    bool recently_lacked_tokens(const account_id& account, time_point now) const {
        const auto found = m_token_shortages.find(account);
        return found != m_token_shortages.end() && now - found->second.last_failure <= m_options.max_token_wait;
    }

    void suspend_until_token(const account_id& account, time_point now, dispatcher_actions& actions) {
        const bool continues = recently_lacked_tokens(account, now);
        token_shortage& shortage = m_token_shortages[account];
        if (!continues)
            shortage.since = now;
        shortage.last_failure = now;
        // Only time without tokens counts towards the limit; time spent waiting for a slot does not.
        if (now - shortage.since >= m_options.max_token_wait) {
            const time_point enqueued_by = now - m_options.max_token_wait;
            refuse_all(m_queue.remove_enqueued_by(account, enqueued_by), refusal_reason::over_rate, actions);
        }
        if (m_queue.size_of(account) == 0)
            m_token_shortages.erase(account);
        m_queue.suspend(account, now + m_options.token_retry_interval);
    }

    RateLimiter* m_rates;
    dispatcher_options m_options;
    fair_queue m_queue;
    upstream_selector m_upstreams;
    std::map<account_id, token_shortage> m_token_shortages;
};

} // namespace ragworthinge
