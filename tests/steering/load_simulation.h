#pragma once

#include "steering/request_dispatcher.h"
#include "steering/steering_fixture.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace ragworthinge {

/// Strategy that chooses an upstream for each request.
enum class placement_strategy {
    steering,     ///< The product's dispatcher.
    least_loaded, ///< The upstream with the fewest requests from the host; never refuses.
    two_choices,  ///< The less loaded of two random upstreams; never refuses.
};

/// A client account of the simulated callers.
struct simulated_account {
    account_id name;
    double weight = 1;                      ///< Its requests, compared to those of the other accounts.
    std::vector<region_id> allowed_regions; ///< Empty: all.
};

/// One service under load. The defaults are those of a service in the users' workload sheets.
struct simulation_options {
    placement_strategy strategy = placement_strategy::steering;
    std::size_t hosts = 12;
    std::size_t upstreams = 16;
    unsigned slots = 4;
    std::size_t object_cache_size = 20; ///< Number of objects that an upstream keeps in its cache.
    unsigned objects = 24;
    double popular_share = 0; ///< Fraction of the requests that concern the popular object.
    /// The popular object as a function of the time since the start.
    std::function<unsigned(duration)> popular_object = [](duration) {
        return 0U;
    };
    unsigned routes = 1; ///< Routes that share the service and the names of the objects.
    /// Time until a report reaches the other hosts.
    duration report_delay{0};
    std::chrono::milliseconds known_processing{264};
    std::chrono::milliseconds unknown_processing{880};
    std::chrono::milliseconds timeout{1200};  ///< Timeout of the route, for each attempt.
    std::chrono::milliseconds deadline{4000}; ///< Deadline of the caller, over all attempts.
    std::chrono::milliseconds target{600};
    /// Total request rate over all hosts as a function of the time since the start.
    std::function<double(duration)> rate = [](duration) {
        return 93.0;
    };
    duration length = std::chrono::seconds(30);
    /// Called every 100 ms of simulated time, to change hosts and upstreams.
    std::function<void(class load_simulation&, duration)> script;
    /// Whether responses tell how long work takes at the upstream at that moment.
    bool upstreams_report_speed = false;
    /// Refused callers retry once, at any host, after the Retry-After but at most a third of the time they have left.
    bool callers_retry = false;
    /// Accounts of the callers; without any, requests belong to none.
    std::vector<simulated_account> accounts;
    duration count_accounts_from{0}; ///< Only requests that arrive later count for their account.
    unsigned seed = 1;
};

struct simulation_results {
    std::size_t requested = 0;
    std::size_t in_target = 0;
    std::size_t late = 0;
    std::size_t refused = 0;
    std::size_t timed_out = 0;
    std::size_t shed = 0;
    std::size_t failed = 0;                      ///< Failed by an upstream with a failure fraction.
    std::size_t retried = 0;                     ///< Callers that retried after a refusal.
    std::size_t retried_served = 0;              ///< Retries that got a response.
    std::size_t refused_after_wait = 0;          ///< Waited for more than an eighth of the target before being refused.
    std::size_t known = 0;                       ///< Executed where the object was known.
    std::size_t executed = 0;                    ///< Begun by an upstream.
    std::map<std::string, std::size_t> arrivals; ///< By upstream.
    std::size_t slow_arrivals = 0;               ///< Arrivals at an upstream that is slow at that moment.
    std::vector<processing_time> estimates;      ///< Of each host for the first route, at the end.

    std::map<std::string, std::size_t> requested_by_route;
    std::map<std::string, std::size_t> in_target_by_route;
    std::map<account_id, std::size_t> requested_by_account;
    std::map<account_id, std::size_t> served_by_account;     ///< Answered, in target or late.
    std::map<std::int64_t, std::size_t> requested_by_second; ///< By second of the first arrival.
    std::map<std::int64_t, std::size_t> in_target_by_second; ///< By second of the first arrival.

    /// Fraction of the requests that arrived from second `first` to before second `end` and met their target.
    double in_target_between(std::int64_t first, std::int64_t end) const;

    /// Fraction of the account's requests that were answered; 1 if there were none.
    double served_share(const account_id& account) const;

    double fraction(std::size_t count) const {
        return requested == 0 ? 0 : static_cast<double>(count) / static_cast<double>(requested);
    }
};

/// Simulates a load on real dispatchers, with a manual clock and fake upstreams that have slots, a queue and an object
/// cache. Messages take no time; reports between hosts lag by their period.
class load_simulation {
public:
    explicit load_simulation(simulation_options options);
    load_simulation(const load_simulation&) = delete;
    load_simulation& operator=(const load_simulation&) = delete;
    ~load_simulation();

    simulation_results run();

    /// Adds an upstream; all hosts learn of it at once.
    void add_upstream();

    /// Announces to all hosts that an upstream takes no new requests.
    void drain_upstream(std::size_t upstream);

    /// Multiplies the processing time of an upstream.
    void set_speed(std::size_t upstream, double factor);

    /// Makes an upstream fail a fraction of its requests immediately, as one that is faulty although its health check
    /// succeeds.
    void set_failing(std::size_t upstream, double fraction);

    /// Returns the number of requests sent to an upstream so far.
    std::size_t arrivals_at(std::size_t upstream) const;

    /// Restarts the processes of all hosts, which lose all state.
    void restart_hosts();

private:
    struct fake_upstream;
    struct host;
    struct simulated_request;

    void at(time_point time, std::function<void()> action);
    void schedule_arrival();
    void arrive(host& entry);
    void place(host& entry, const std::shared_ptr<simulated_request>& request);
    void refuse(const std::shared_ptr<simulated_request>& request, duration retry_after);
    void dispatch(const std::shared_ptr<simulated_request>& request, const placement& placed);
    void begin_service(fake_upstream& upstream, const std::shared_ptr<simulated_request>& request);
    void end_service(fake_upstream& upstream, const std::shared_ptr<simulated_request>& request);
    void finish(const std::shared_ptr<simulated_request>& request, attempt_end end, bool is_shed);
    void record_processing_time(const simulated_request& request, duration taken);
    void exchange_reports(host& sender);
    void deliver_report(const host_report& report, const host& sender);
    void update_loads(host& receiver);
    std::unique_ptr<host> make_host_state(std::size_t index);
    std::shared_ptr<observed_upstream> choose_naive(host& entry);

    struct event {
        time_point time;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const event& other) const {
            return time != other.time ? time > other.time : order > other.order;
        }
    };

    simulation_options m_options;
    simulation_results m_results;
    std::mt19937 m_random;
    time_point m_now = test_start;
    std::uint64_t m_order = 0;
    std::uint64_t m_generation = 0;
    waiting_ticket m_ticket = 0;
    std::priority_queue<event> m_events;
    std::vector<std::unique_ptr<fake_upstream>> m_upstreams;
    std::map<upstream_id, fake_upstream*> m_by_id;
    std::vector<std::unique_ptr<host>> m_hosts;
    std::vector<std::unique_ptr<host>> m_ended_hosts; ///< Kept alive for the jobs that still refer to them.
    std::vector<steering_route> m_routes;
    std::discrete_distribution<std::size_t> m_account_choice;
};

} // namespace ragworthinge
