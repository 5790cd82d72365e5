#pragma once

#include "routing_fixture.h"

#include <cmath>
#include <cstdint>
#include <functional>
#include <queue>
#include <random>

namespace ragworthinge {

struct simulated_account {
    account_id name;
    double rate = 0;      ///< Requests per second to which the account is entitled. Also used as its weight.
    double demand = 0;    ///< Requests per second that the account sends.
    bool limited = false; ///< Whether the rate limiter limits the account to its rate.
};

struct simulation_options {
    std::vector<simulated_account> accounts;
    int upstreams = 12;
    std::uint32_t slots = 3;
    duration mean_service = 20ms; ///< Service times are uniform between 0.5 and 1.5 times this.
    duration timeout = 500ms;
    duration length = 30s;
    duration warm_up = 2s; ///< Requests in this initial period are not counted.
    std::uint64_t seed = 1;
    dispatcher_options dispatching;
};

struct simulated_request {
    time_point arrival;
    std::size_t account = 0;
    duration service{};
};

struct account_outcome {
    int offered = 0;
    int served = 0;
    std::map<refusal_reason, int> refused;
    std::vector<double> waits_ms;
};

struct simulation_report {
    std::map<account_id, account_outcome> accounts;
    std::vector<double> waits_ms;            ///< Queueing times of dispatched requests.
    std::uint32_t busy_at_first_refusal = 0; ///< Number of occupied slots.
    bool any_refusal = false;
};

/// Generates Poisson arrivals of all accounts, ordered by time.
inline std::vector<simulated_request> make_arrivals(const simulation_options& options) {
    std::mt19937_64 random(options.seed);
    const auto uniform = [&] {
        return (static_cast<double>(random() >> 11U) + 0.5) / 9007199254740992.0;
    };
    std::vector<simulated_request> requests;
    for (std::size_t account = 0; account < options.accounts.size(); ++account) {
        std::chrono::duration<double> at{0};
        while (true) {
            at += std::chrono::duration<double>(-std::log(uniform()) / options.accounts[account].demand);
            if (at > options.length)
                break;
            const auto service = std::chrono::duration_cast<duration>((0.5 + uniform()) * options.mean_service);
            requests.push_back({test_start + std::chrono::duration_cast<duration>(at), account, service});
        }
    }
    std::sort(requests.begin(), requests.end(), [](const auto& left, const auto& right) {
        return left.arrival != right.arrival ? left.arrival < right.arrival : left.account < right.account;
    });
    return requests;
}

/// Runs the arrivals through a dispatcher whose upstreams respond after the service time of each request.
inline simulation_report simulate_dispatcher(const simulation_options& options) {
    const std::vector<simulated_request> requests = make_arrivals(options);
    bucket_limiter limiter;
    service_configuration service;
    service.upstreams = make_upstreams(options.upstreams, options.slots);
    std::vector<account_configuration> accounts;
    for (const simulated_account& account : options.accounts) {
        accounts.push_back({account.name, account.rate, account.rate, 1});
        if (account.limited)
            limiter.limit(account.name, account.rate, account.rate / 5);
    }
    dispatcher<bucket_limiter> subject(limiter, options.dispatching);
    subject.configure(service, "north", accounts, upstream_start::warm, test_start);

    simulation_report report;
    std::priority_queue<std::pair<time_point, request_ticket>, std::vector<std::pair<time_point, request_ticket>>,
                        std::greater<>>
        endings;
    std::uint32_t busy = 0;
    const auto apply = [&](const dispatcher_actions& actions, time_point now) {
        for (const dispatcher_action& action : actions) {
            const auto* sent = std::get_if<dispatch_action>(&action);
            const auto* refused = std::get_if<refuse_action>(&action);
            const request_ticket ticket = sent != nullptr ? sent->ticket : refused->ticket;
            const simulated_request& request = requests[ticket];
            account_outcome& outcome = report.accounts[options.accounts[request.account].name];
            if (sent != nullptr) {
                ++busy;
                endings.emplace(now + request.service, ticket);
            } else if (!report.any_refusal) {
                report.any_refusal = true;
                report.busy_at_first_refusal = busy;
            }
            // Outcomes are counted by the time of the action. Counted by arrival, requests that are still queued at the
            // end would count as not served.
            if (now < test_start + options.warm_up)
                continue;
            if (sent == nullptr) {
                ++outcome.refused[refused->reason];
                continue;
            }
            ++outcome.served;
            const double wait = std::chrono::duration<double, std::milli>(now - request.arrival).count();
            outcome.waits_ms.push_back(wait);
            report.waits_ms.push_back(wait);
        }
    };

    std::size_t next = 0;
    time_point tick = test_start;
    while (next < requests.size()) {
        const time_point arrival = requests[next].arrival;
        if (!endings.empty() && endings.top().first <= std::min(arrival, tick)) {
            const auto [now, ticket] = endings.top();
            endings.pop();
            --busy;
            apply(subject.finished(ticket, upstream_outcome::succeeded, now), now);
        } else if (tick <= arrival) {
            apply(subject.tick(tick), tick);
            tick += 10ms;
        } else {
            const simulated_account& account = options.accounts[requests[next].account];
            if (arrival >= test_start + options.warm_up)
                ++report.accounts[account.name].offered;
            apply(subject.enqueue(make_entry(next, account.name, arrival, options.timeout), arrival), arrival);
            ++next;
        }
    }
    return report;
}

/// Queueing times of the same arrivals with a single FIFO queue for all slots.
inline std::vector<double> ideal_queue_waits(const simulation_options& options) {
    std::priority_queue<time_point, std::vector<time_point>, std::greater<>> free_at;
    for (std::uint32_t slot = 0; slot < static_cast<std::uint32_t>(options.upstreams) * options.slots; ++slot)
        free_at.push(test_start);
    std::vector<double> waits;
    for (const simulated_request& request : make_arrivals(options)) {
        const time_point begin = std::max(request.arrival, free_at.top());
        free_at.pop();
        free_at.push(begin + request.service);
        if (request.arrival >= test_start + options.warm_up)
            waits.push_back(std::chrono::duration<double, std::milli>(begin - request.arrival).count());
    }
    return waits;
}

/// Served requests per account with a bounded FIFO queue in place of the fair queue.
inline std::map<account_id, int> fifo_queue_served(const simulation_options& options, std::size_t limit) {
    std::map<account_id, int> served;
    std::priority_queue<time_point, std::vector<time_point>, std::greater<>> endings;
    std::queue<simulated_request> waiting;
    const std::size_t slots = static_cast<std::size_t>(options.upstreams) * options.slots;
    const auto start_waiting = [&](time_point now) {
        while (!waiting.empty() && endings.size() < slots) {
            const simulated_request request = waiting.front();
            waiting.pop();
            if (request.arrival + options.timeout < now)
                continue;
            endings.push(now + request.service);
            if (now >= test_start + options.warm_up)
                ++served[options.accounts[request.account].name];
        }
    };
    for (const simulated_request& request : make_arrivals(options)) {
        while (!endings.empty() && endings.top() <= request.arrival) {
            const time_point now = endings.top();
            endings.pop();
            start_waiting(now);
        }
        if (waiting.size() < limit)
            waiting.push(request);
        start_waiting(request.arrival);
    }
    return served;
}

/// Weighted max-min shares of the capacity, computed by repeatedly satisfying the accounts below their share.
inline std::map<account_id, double> max_min_shares(const std::vector<simulated_account>& accounts, double capacity) {
    std::map<account_id, double> shares;
    std::vector<simulated_account> open = accounts;
    while (!open.empty()) {
        double weights = 0;
        for (const simulated_account& account : open)
            weights += account.rate;
        const double level = capacity / weights;
        const auto satisfied = std::partition(open.begin(), open.end(), [&](const simulated_account& account) {
            return account.demand > level * account.rate;
        });
        if (satisfied == open.end()) {
            for (const simulated_account& account : open)
                shares[account.name] = level * account.rate;
            break;
        }
        for (auto account = satisfied; account != open.end(); ++account) {
            shares[account->name] = account->demand;
            capacity -= account->demand;
        }
        open.erase(satisfied, open.end());
    }
    return shares;
}

/// Accounts of different sizes whose rates add up to about the given fraction of the capacity. The last account sends
/// `excess` times its rate.
inline std::vector<simulated_account> uneven_accounts(double capacity, double fraction, double excess) {
    const std::vector<double> sizes{1, 1, 2, 4, 8, 24, 30, 30};
    std::vector<simulated_account> accounts;
    for (const double size : sizes) {
        const double rate = capacity * fraction * size / 100;
        accounts.push_back({"account-" + std::to_string(accounts.size()), rate, rate, false});
    }
    accounts.back().demand = excess * accounts.back().rate;
    return accounts;
}

inline double capacity_per_second(const simulation_options& options) {
    return options.upstreams * options.slots / std::chrono::duration<double>(options.mean_service).count();
}

/// Lowest ratio of served requests to the max-min share of any account.
inline double lowest_served_ratio(const simulation_options& options, const std::map<account_id, int>& served) {
    // The shares are computed from the generated arrivals, so that random variation of a small account's demand does
    // not count as bad service.
    const double seconds = std::chrono::duration<double>(options.length - options.warm_up).count();
    std::vector<simulated_account> drawn = options.accounts;
    for (simulated_account& account : drawn)
        account.demand = 0;
    for (const simulated_request& request : make_arrivals(options))
        drawn[request.account].demand += request.arrival >= test_start + options.warm_up ? 1 / seconds : 0;
    double worst = 1;
    for (const auto& [name, share] : max_min_shares(drawn, capacity_per_second(options))) {
        const auto found = served.find(name);
        worst = std::min(worst, (found == served.end() ? 0 : found->second) / (share * seconds));
    }
    return worst;
}

inline std::map<account_id, int> served_counts(const simulation_report& report) {
    std::map<account_id, int> served;
    for (const auto& [name, outcome] : report.accounts)
        served[name] = outcome.served;
    return served;
}

inline double percentile(std::vector<double> values, double fraction) {
    std::sort(values.begin(), values.end());
    return values.empty() ? 0 : values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

} // namespace ragworthinge
