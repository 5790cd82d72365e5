#include "steering/account_limiter.h"

#include "membership/rendezvous_hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ragworthinge {

namespace {

/// Maximum time between two share updates; a host that exceeds it was stalled. Lies between the report period of 0.8 s
/// and the 2.1 s without reports after which other hosts consider a host lost.
constexpr duration max_update_interval = std::chrono::milliseconds(1800);

double seconds(duration time) {
    return std::chrono::duration<double>(time).count();
}

} // namespace

double account_limiter::decayed_demand(account_state& state, time_point now) const {
    const double elapsed = seconds(now - state.demand_at);
    if (elapsed > 0) {
        state.demand *= std::exp(-elapsed / seconds(m_options.demand_time_constant));
        state.demand_at = now;
    }
    return state.demand;
}

void account_limiter::record_demand(const account_id& account, time_point now) {
    account_state& state = m_accounts[account];
    decayed_demand(state, now);
    state.demand += 1 / seconds(m_options.demand_time_constant);
}

void account_limiter::bucket::refill(const steering_account& account, time_point now) {
    // A timestamp older than the last refill must not refill the same interval twice.
    if (now <= refilled_at)
        return;
    // Shares are updated more often than this, so the process was stalled and other hosts have spent its share
    // meanwhile.
    if (now - refilled_at > max_update_interval) {
        share = 0;
        tokens = 0;
    }
    const double limit = account.burst * share;
    const double elapsed = seconds(now - refilled_at);
    // Tokens granted by the pool may exceed the limit and are kept.
    if (tokens < limit)
        tokens = std::min(limit, tokens + elapsed * account.requests_per_second * share);
    refilled_at = now;
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
        state.own.share = m_default_share * (1 - m_options.pooled_fraction);
        state.own.tokens = m_options.initial_fill * account.burst * state.own.share;
        state.own.refilled_at = now;
        state.pool.refilled_at = now;
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

bool account_limiter::may_request_from_pool(const account_id& account, time_point now) const {
    const auto found = m_accounts.find(account);
    return found == m_accounts.end() || found->second.pool_backoff_until <= now;
}

void account_limiter::apply_grant(const account_id& account, const pool_grant& granted, time_point now) {
    account_state& state = m_accounts[account];
    if (granted.tokens == 0) {
        state.pool_backoff_until =
            now + std::clamp(granted.next_token, m_options.min_pool_backoff, m_options.max_pool_backoff);
        return;
    }
    state.own.tokens += granted.tokens - 1;
}

pool_grant account_limiter::grant(const steering_account& account, time_point now) {
    // From this fill level on the pool grants two tokens at once, which saves the requester's next request.
    constexpr double double_grant_level = 6;
    bucket& pool = state_of(account, now).pool;
    if (pool.share <= 0)
        return {};
    pool.refill(account, now);
    pool_grant granted;
    granted.tokens = pool.tokens >= double_grant_level ? 2 : pool.tokens >= 1 ? 1 : 0;
    pool.tokens -= granted.tokens;
    granted.next_token = granted.tokens > 0 ? duration::zero() : pool.time_to_token(account);
    return granted;
}

host_id account_limiter::pool_owner(const account_id& account, const fleet_membership& fleet, time_point now) {
    return highest_ranked_host("pool/" + account, fleet.eligible_pool_owners(now)).value_or(fleet.options().self);
}

const host_id& account_limiter::cached_pool_owner(const account_id& account, const host_id& self) {
    const auto [entry, created] = m_pool_owners.try_emplace(account);
    if (created)
        entry->second = highest_ranked_host("pool/" + account, m_eligible_pool_owners).value_or(self);
    return entry->second;
}

void account_limiter::refund_token(const account_id& account) {
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
    m_uses_reporters = fleet.uses_reporters();
    const auto hosts = static_cast<double>(fleet.size());
    const double live_hosts = static_cast<double>(fleet.live_peers(now)) + 1;
    const double available_share = live_hosts / hosts; // each host that is not live may spend an equal share
    m_default_share = 1 / hosts;
    if (std::vector<host_id> owners = fleet.eligible_pool_owners(now); owners != m_eligible_pool_owners) {
        m_eligible_pool_owners = std::move(owners);
        m_pool_owners.clear();
    }

    struct demand_sum {
        double own = 0;
        double all = 0;
    };
    std::map<std::vector<region_id>, demand_sum> sums;
    for (const steering_account& account : table.configuration().accounts) {
        account_state& state = state_of(account, now);
        state.own.refill(account, now);
        state.pool.refill(account, now);
        // The reporter has counted either this or the previous report. Using the lower demand of both ensures that no
        // host weighs its own demand higher than the other hosts do, so the shares of a region's hosts sum to at most
        // the region's share.
        const double own =
            m_uses_reporters ? std::min(state.reported_demand, state.previous_demand) : state.reported_demand;
        const double equal_share = m_options.equal_fraction / live_hosts;
        double demand_share = 1 / live_hosts;
        if (views) {
            const auto found = views->find(account.name);
            const demand_view view = found == views->end() ? demand_view() : found->second;
            // The reporter has not counted this account's demand yet.
            const bool is_uncounted = m_uses_reporters && found == views->end() && own > 0;
            if (own + view.others > 0 && !is_uncounted)
                demand_share = view.region_fraction * own / (own + view.others);
            if (!is_uncounted && view.region_fraction > 0) {
                demand_sum& sum = sums[account.allowed_regions];
                sum.own += own;
                sum.all += (own + view.others) / view.region_fraction;
            }
        } else {
            // Without demand data from other hosts the limit is divided equally.
            demand_share = 1 / hosts;
        }
        // A host's share of the burst would be below one token and could not admit any request, so the whole limit of
        // such an account is pooled.
        const bool is_small = account.burst * (1 - m_options.pooled_fraction) / hosts < 1;
        const double pooled_share = is_small ? 1 : m_options.pooled_fraction;
        const double divided_share = available_share * (1 - pooled_share);
        state.own.share = divided_share * (equal_share + (1 - m_options.equal_fraction) * demand_share);
        state.own.tokens = std::min(state.own.tokens, std::max(1.0, account.burst * state.own.share));
        const bool owns_pool = cached_pool_owner(account.name, fleet.options().self) == fleet.options().self;
        // A host that becomes the pool owner starts with an empty pool, since it does not know what the previous owner
        // granted.
        if (!owns_pool || state.pool.share <= 0)
            state.pool.tokens = 0;
        state.pool.share = owns_pool ? available_share * pooled_share : 0;
    }
    m_demand_shares.clear();
    for (const auto& [regions, sum] : sums) {
        if (sum.all > 0)
            m_demand_shares[regions] = sum.own / sum.all;
    }
}

std::map<account_id, double> account_limiter::shares() const {
    std::map<account_id, double> all;
    for (const auto& [account, state] : m_accounts)
        all[account] = state.own.share + state.pool.share;
    return all;
}

std::vector<account_demand> account_limiter::report_demands(time_point now) {
    constexpr double min_reported_demand = 0.05;
    std::vector<account_demand> all;
    for (auto& [account, state] : m_accounts) {
        double demand = decayed_demand(state, now);
        // In a large fleet each host receives few requests of an account. Averaging keeps the minimum of two reports
        // from being dominated by noise.
        if (m_uses_reporters)
            demand = (demand + state.reported_demand) / 2;
        state.previous_demand = std::exchange(state.reported_demand, demand >= min_reported_demand ? demand : 0);
        if (demand >= min_reported_demand)
            all.push_back({account, demand});
    }
    return all;
}

} // namespace ragworthinge
