// Prints the figures of the routing module beside their targets. Exits non-zero when a target is missed.

#include "routing/client_block_table.h"
#include "routing/dispatch_simulation.h"
#include "routing/region_selector.h"

#include <arpa/inet.h>

#include <cstdio>
#include <deque>
#include <string>
#include <unordered_set>

using namespace ragworthinge;

namespace {

using measuring_clock = std::chrono::steady_clock;

bool every_target_met = true;

void print(const char* name, std::uint64_t seed, double value, const char* unit, double target, bool at_least) {
    const bool met = at_least ? value >= target : value <= target;
    every_target_met = every_target_met && met;
    std::printf("%-58s seed %-3llu %12.3f %-10s target %s %-8g %s\n", name, static_cast<unsigned long long>(seed),
                value, unit, at_least ? ">=" : "<=", target, met ? "met" : "MISSED");
}

void print_note(const char* name, std::uint64_t seed, double value, const char* unit) {
    std::printf("%-58s seed %-3llu %12.3f %s\n", name, static_cast<unsigned long long>(seed), value, unit);
}

/// Worst-served account at full demand; `limited` adds token buckets at the accounts' rates.
void measure_worst_served(std::uint64_t seed) {
    simulation_options options;
    options.seed = seed;
    options.length = 60s;
    options.accounts = uneven_accounts(capacity_per_second(options), 1.0, 8);
    const simulation_report report = simulate_dispatcher(options);
    print("worst-served account beside one at 8 times its rate", seed,
          lowest_served_ratio(options, served_counts(report)), "of share", 0.97, true);
    print_note("  first come, first served on the same arrivals", seed,
               lowest_served_ratio(options, fifo_queue_served(options, 1000)), "of share");
}

/// Refusals of accounts within their rates beside one at 8 times its rate, all limited by token buckets.
void measure_wrongful_refusals(std::uint64_t seed) {
    simulation_options options;
    options.seed = seed;
    options.length = 60s;
    options.accounts = uneven_accounts(capacity_per_second(options), 0.8, 8);
    for (simulated_account& account : options.accounts) {
        account.limited = true;
        account.demand *= 0.95;
    }
    const simulation_report report = simulate_dispatcher(options);
    double refused = 0;
    double offered = 0;
    for (const auto& [name, outcome] : report.accounts) {
        if (name == options.accounts.back().name)
            continue;
        offered += outcome.offered;
        for (const auto& [reason, count] : outcome.refused)
            refused += count;
    }
    print_note("refusals at 95% of the rate, one dispatcher, Poisson bursts", seed, 100 * refused / offered, "%");
}

/// Offered load of 1.3 times the capacity until the first refusal, and over the whole time.
void measure_capacity(std::uint64_t seed) {
    simulation_options options;
    options.seed = seed;
    options.length = 30s;
    options.warm_up = 0s;
    options.accounts = uneven_accounts(capacity_per_second(options), 1.3, 1);
    const simulation_report report = simulate_dispatcher(options);
    const double part = report.busy_at_first_refusal / (options.upstreams * static_cast<double>(options.slots));
    print("slots occupied at the first refusal", seed, report.any_refusal ? 100 * part : -1, "%", 95, true);

    double served = 0;
    for (const auto& [name, outcome] : report.accounts)
        served += outcome.served;
    const double seconds = std::chrono::duration<double>(options.length).count();
    print("capacity used under overload", seed, 100 * served / (capacity_per_second(options) * seconds), "%", 95, true);
}

void measure_queueing(std::uint64_t seed, bool limited) {
    simulation_options options;
    options.seed = seed;
    options.length = 120s;
    options.accounts = uneven_accounts(capacity_per_second(options), 0.8, 1);
    for (simulated_account& account : options.accounts)
        account.limited = limited;
    // Tokens for twice the demand: the accounts are within their rates, with Poisson bursts.
    if (limited) {
        for (simulated_account& account : options.accounts)
            account.rate *= 2;
    }
    const double ours = percentile(simulate_dispatcher(options).waits_ms, 0.99);
    const double ideal = percentile(ideal_queue_waits(options), 0.99);
    std::printf("  p99 queueing time: ours %.3f ms, ideal %.3f ms\n", ours, ideal);
    print(limited ? "p99 queueing at 80% load against ideal, with token buckets"
                  : "p99 queueing at 80% load against ideal",
          seed, ours / ideal, "times", 1.5, false);
}

struct unlimited_links {
    bool try_spend(const region_id&, double, time_point) { return true; }
};

void measure_site_decision(std::uint64_t seed) {
    std::mt19937_64 random(seed);
    std::vector<region_candidate> sites;
    for (int number = 0; number < 220; ++number)
        sites.push_back({"site-" + std::to_string(number), std::chrono::microseconds(random() % 40000)});
    region_selector selector("site-0");
    selector.set_regions(sites);
    for (const region_candidate& item : sites) {
        const bool own = item.region == "site-0";
        selector.update(item.region,
                        {own ? 0.0 : 1e6, own ? 0.0 : 1e5, static_cast<double>(random() % 1000), test_start});
    }
    unlimited_links links;
    constexpr int decisions = 200000;
    std::size_t letters = 0;
    const auto begin = measuring_clock::now();
    for (int number = 0; number < decisions; ++number) {
        const auto chosen = selector.select(traffic_kind::unplanned, 0.1, links, test_start);
        letters += chosen->size();
        selector.record_end(*chosen);
    }
    const std::chrono::duration<double, std::micro> elapsed = measuring_clock::now() - begin;
    print("site decision over 220 sites, own site full", seed, elapsed.count() / decisions, "us", 5, false);
    if (letters == 0)
        std::puts("unreachable");
}

/// Time for one request through the dispatcher (enqueue, dispatch, finish) while many accounts wait.
double dispatch_microseconds(int accounts, std::uint64_t seed) {
    std::mt19937_64 random(seed);
    bucket_limiter limiter;
    service_configuration service;
    service.upstreams = make_upstreams(12, 3);
    service.queue_limit = 20000;
    std::vector<account_configuration> configured;
    for (int number = 0; number < accounts; ++number)
        configured.push_back({"account-" + std::to_string(number), 1.0 + static_cast<double>(random() % 50), 10, 1});
    dispatcher<bucket_limiter> subject(limiter);
    subject.configure(service, "north", configured, upstream_start::warm, test_start);

    std::deque<request_ticket> running;
    request_ticket ticket = 0;
    const auto apply = [&](const dispatcher_actions& actions) {
        for (const auto& action : actions) {
            if (const auto* sent = std::get_if<dispatch_action>(&action))
                running.push_back(sent->ticket);
        }
    };
    const auto add = [&] {
        const account_id& account = configured[random() % configured.size()].name;
        apply(subject.enqueue(make_entry(++ticket, account, test_start, 1h), test_start));
    };
    for (int number = 0; number < 10000; ++number)
        add();
    constexpr int requests = 100000;
    const auto begin = measuring_clock::now();
    for (int number = 0; number < requests; ++number) {
        add();
        const request_ticket ended = running.front();
        running.pop_front();
        apply(subject.finished(ended, upstream_outcome::succeeded, test_start + 1ms));
    }
    const std::chrono::duration<double, std::micro> elapsed = measuring_clock::now() - begin;
    return elapsed.count() / requests;
}

void measure_dispatch(std::uint64_t seed) {
    const double few = dispatch_microseconds(8, seed);
    const double many = dispatch_microseconds(8000, seed);
    print("request through the dispatcher, 8 accounts", seed, few, "us", 5, false);
    print("request through the dispatcher, 8,000 accounts", seed, many, "us", 5, false);
    print("  growth from 8 to 8,000 accounts", seed, many / few, "times", 2, false);
}

/// `ipv6_part` of the blocks are IPv6 of up to 64 bits; all are distinct and many nest.
void measure_blocks(std::size_t count, double ipv6_part, std::uint64_t seed) {
    std::mt19937_64 random(seed);
    std::vector<client_block_configuration> blocks;
    std::unordered_set<std::string> distinct;
    while (blocks.size() < count) {
        const bool is_ipv6 = static_cast<double>(random() % 1000) < ipv6_part * 1000;
        std::uint8_t bytes[16] = {};
        const std::uint64_t bits = random();
        const unsigned length = is_ipv6 ? 24 + random() % 41 : 10 + random() % 20;
        const std::uint64_t kept = length == 64 ? bits : bits & ~(~std::uint64_t{0} >> length);
        for (unsigned position = 0; position < 8; ++position)
            bytes[position] = static_cast<std::uint8_t>(kept >> (56 - 8 * position));
        char text[INET6_ADDRSTRLEN];
        inet_ntop(is_ipv6 ? AF_INET6 : AF_INET, bytes, text, sizeof text);
        std::string written = std::string(text) + "/" + std::to_string(length);
        if (distinct.insert(written).second)
            blocks.push_back({std::move(written), "site-" + std::to_string(random() % 220)});
    }
    const auto table = client_block_table::build(blocks);
    if (!table.has_value()) {
        std::printf("building failed: %s\n", table.error().message.c_str());
        every_target_met = false;
        return;
    }

    std::vector<client_address> queries(1 << 20);
    for (client_address& query : queries) {
        query.is_ipv6 = static_cast<double>(random() % 1000) < ipv6_part * 1000;
        for (std::size_t position = 0; position < (query.is_ipv6 ? 16U : 4U); ++position)
            query.bytes[position] = static_cast<std::uint8_t>(random());
    }
    std::size_t found = 0;
    const auto begin = measuring_clock::now();
    for (const client_address& query : queries)
        found += table.value().find(query).has_value() ? 1 : 0;
    const std::chrono::duration<double, std::nano> elapsed = measuring_clock::now() - begin;

    const std::string name =
        std::to_string(count) + " blocks, " + std::to_string(static_cast<int>(100 * ipv6_part)) + "% IPv6: ";
    print((name + "memory").c_str(), seed, static_cast<double>(table.value().memory_bytes()) / 1e6, "MB", 20, false);
    print((name + "look-up").c_str(), seed, elapsed.count() / static_cast<double>(queries.size()), "ns", 1000, false);
    print_note("  look-ups that found a site", seed,
               100.0 * static_cast<double>(found) / static_cast<double>(queries.size()), "%");
}

} // namespace

int main() {
    for (const std::uint64_t seed : {1, 2, 3}) {
        measure_worst_served(seed);
        measure_wrongful_refusals(seed);
        measure_capacity(seed);
        measure_queueing(seed, false);
        measure_queueing(seed, true);
    }
    measure_site_decision(1);
    measure_dispatch(1);
    for (const std::size_t count : {10000U, 100000U, 1300000U}) {
        for (const double ipv6_part : {0.0, 0.3, 1.0})
            measure_blocks(count, ipv6_part, 1);
    }
    return every_target_met ? 0 : 1;
}
