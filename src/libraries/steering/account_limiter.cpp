#include "steering/account_limiter.h"

#include "membership/rendezvous_hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ragworthinge {

namespace {

/// Maximum time between two share updates; a host that exceeds it was stalled. Lies between the report period of 0.8 s
/// and the 2.1 s without reports after which other hosts consider a host lost.
constexpr duration longest_gap = std::chrono::milliseconds(1800);

double seconds(duration time) {
    return std::chrono::duration<double>(time).count();
}

} // namespace

double account_limiter::faded_demand(account_state& state, time_point now) const {
    const double passed = seconds(now - state.demand_at);
    if (passed > 0) {
        state.demand *= std::exp(-passed / seconds(m_options.demand_time));
        state.demand_at = now;
    }
    return state.demand;
}

void account_limiter::record_demand(const account_id& account, time_point now) {
    account_state& state = m_accounts[account];
    faded_demand(state, now);
    state.demand += 1 / seconds(m_options.demand_time);
}

void account_limiter::bucket::refill(const steering_account& account, time_point now) {
    // A timestamp older than the last refill must not refill the same interval twice.
    if (now <= filled_at)
        return;
    // Shares are updated more often than this, so the process was stalled and other hosts have spent its share
    // meanwhile.
    if (now - filled_at > longest_gap) {
        share = 0;
        tokens = 0;
    }
    const double limit = account.burst * share;
    const double passed = seconds(now - filled_at);
    // Tokens granted by the pool may exceed the limit and are kept.
    if (tokens < limit)
        tokens = std::min(limit, tokens + passed * account.requests_per_second * share);
    filled_at = now;
}

duration account_limiter::bucket::time_to_token(const steering_account& account) const {
    const double rate = account.requests_per_second * share;
    if (tokens >= 1 || rate <= 0)
        return duration::zero();
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>((1 - tokens) / rate));
}

account_limiter::account_state& account_limiter::state_of(const steering_account& account, time_point now) {
    account_state& state = m_accounts[account.name];
    if (!state.is_started) {
        state.is_started = true;
        state.own.share = m_default_share * (1 - m_options.pooled_part);
        state.own.tokens = m_options.first_fill * account.burst * state.own.share;
        state.own.filled_at = now;
        state.pool.filled_at = now;
    }
    return state;
}

bool account_limiter::try_take(const steering_account& account, time_point now) {
    if (account.requests_per_second <= 0)
        return true;
    bucket& own = state_of(account, now).own;
    own.refill(account, now);
    if (own.tokens < 1)
        return false;
    own.tokens -= 1;
    return true;
}

bool account_limiter::may_ask_pool(const account_id& account, time_point now) const {
    const auto found = m_accounts.find(account);
    return found == m_accounts.end() || found->second.pool_paused_until <= now;
}

void account_limiter::take_granted(const account_id& account, const pool_answer& answer, time_point now) {
    account_state& state = m_accounts[account];
    if (answer.tokens == 0) {
        state.pool_paused_until =
            now + std::clamp(answer.next_token, m_options.shortest_pool_pause, m_options.longest_pool_pause);
        return;
    }
    state.own.tokens += answer.tokens - 1;
}

pool_answer account_limiter::grant(const steering_account& account, time_point now) {
    // From this fill level on the pool grants two tokens at once, which saves the requester's next request.
    constexpr double rich = 6;
    bucket& pool = state_of(account, now).pool;
    if (pool.share <= 0)
        return {};
    pool.refill(account, now);
    pool_answer answer;
    answer.tokens = pool.tokens >= rich ? 2 : pool.tokens >= 1 ? 1 : 0;
    pool.tokens -= answer.tokens;
    answer.next_token = answer.tokens > 0 ? duration::zero() : pool.time_to_token(account);
    return answer;
}

host_id account_limiter::pool_keeper(const account_id& account, const fleet_membership& fleet, time_point now) {
    return highest_ranked_host("pool/" + account, fleet.pool_keepers(now)).value_or(fleet.options().self);
}

const host_id& account_limiter::cached_keeper(const account_id& account, const host_id& self) {
    const auto [entry, created] = m_keeper_of.try_emplace(account);
    if (created)
        entry->second = highest_ranked_host("pool/" + account, m_keepers).value_or(self);
    return entry->second;
}

void account_limiter::give_back(const account_id& account) {
    if (const auto found = m_accounts.find(account); found != m_accounts.end())
        found->second.own.tokens += 1;
}

duration account_limiter::time_to_token(const steering_account& account, time_point now) {
    account_state& state = state_of(account, now);
    state.own.refill(account, now);
    return state.own.time_to_token(account);
}

void account_limiter::update_shares(const steering_table& table, const fleet_membership& fleet, time_point now) {
    const auto views = fleet.demand_views(now);
    m_is_relayed = fleet.uses_reporters();
    const auto hosts = static_cast<double>(fleet.size());
    const double heard = static_cast<double>(fleet.heard_peers(now)) + 1;
    const double available = heard / hosts; // each host that is not live may spend an equal share
    m_default_share = 1 / hosts;
    if (std::vector<host_id> keepers = fleet.pool_keepers(now); keepers != m_keepers) {
        m_keepers = std::move(keepers);
        m_keeper_of.clear();
    }

    for (const steering_account& account : table.configuration().accounts) {
        account_state& state = state_of(account, now);
        state.own.refill(account, now);
        state.pool.refill(account, now);
        // The reporter has counted either this or the previous report. Using the lower demand of both ensures that no
        // host weighs its own demand higher than the other hosts do, so the shares of a region's hosts sum to at most
        // the region's share.
        const double own =
            m_is_relayed ? std::min(state.reported_demand, state.previous_demand) : state.reported_demand;
        const double equal = m_options.equal_part / heard;
        double by_demand = 1 / heard;
        if (views) {
            const auto found = views->find(account.name);
            const demand_view view = found == views->end() ? demand_view() : found->second;
            // The reporter has not counted this account's demand yet.
            const bool is_uncounted = m_is_relayed && found == views->end() && own > 0;
            if (own + view.others > 0 && !is_uncounted)
                by_demand = view.region_part * own / (own + view.others);
        } else {
            // Without demand data from other hosts the limit is divided equally.
            by_demand = 1 / hosts;
        }
        // A host's share of the burst would be below one token and could not admit any request, so the whole limit of
        // such an account is pooled.
        const bool is_small = account.burst * (1 - m_options.pooled_part) / hosts < 1;
        const double pooled = is_small ? 1 : m_options.pooled_part;
        const double divided = available * (1 - pooled);
        state.own.share = divided * (equal + (1 - m_options.equal_part) * by_demand);
        state.own.tokens = std::min(state.own.tokens, std::max(1.0, account.burst * state.own.share));
        const bool keeps_pool = cached_keeper(account.name, fleet.options().self) == fleet.options().self;
        // A host that becomes the pool owner starts with an empty pool, since it does not know what the previous owner
        // granted.
        if (!keeps_pool || state.pool.share <= 0)
            state.pool.tokens = 0;
        state.pool.share = keeps_pool ? available * pooled : 0;
    }
}

std::map<account_id, double> account_limiter::shares() const {
    std::map<account_id, double> all;
    for (const auto& [account, state] : m_accounts)
        all[account] = state.own.share + state.pool.share;
    return all;
}

std::vector<account_demand> account_limiter::report_demands(time_point now) {
    constexpr double smallest_reported = 0.05;
    std::vector<account_demand> all;
    for (auto& [account, state] : m_accounts) {
        double demand = faded_demand(state, now);
        // In a large fleet each host receives few requests of an account. Averaging keeps the minimum of two reports
        // from being dominated by noise.
        if (m_is_relayed)
            demand = (demand + state.reported_demand) / 2;
        state.previous_demand = std::exchange(state.reported_demand, demand >= smallest_reported ? demand : 0);
        if (demand >= smallest_reported)
            all.push_back({account, demand});
    }
    return all;
}

} // namespace ragworthinge
