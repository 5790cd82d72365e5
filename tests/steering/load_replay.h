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

/// How a replay places requests.
enum class replay_strategy {
    steering,     ///< The product's dispatcher.
    least_loaded, ///< The upstream with the fewest requests of the host; never refuses.
    two_choices,  ///< The less loaded of two random upstreams; never refuses.
};

/// One service under load. The defaults are a service of the users' sheets.
struct replay_options {
    replay_strategy strategy = replay_strategy::steering;
    std::size_t hosts = 12;
    std::size_t upstreams = 16;
    unsigned slots = 4;
    std::size_t object_memory = 20; ///< Objects that an upstream knows.
    unsigned objects = 24;
    std::chrono::milliseconds known_work{264};
    std::chrono::milliseconds unknown_work{880};
    std::chrono::milliseconds timeout{1200};  ///< The route's, for each try.
    std::chrono::milliseconds deadline{4000}; ///< The caller's, over its tries.
    std::chrono::milliseconds target{600};
    /// Requests per second over all hosts at a time since the start.
    std::function<double(duration)> rate = [](duration) {
        return 93.0;
    };
    duration length = std::chrono::seconds(30);
    /// Called each 100 ms of the replay, to change hosts and upstreams.
    std::function<void(class load_replay&, duration)> script;
    /// Refused callers come back once, at any host, after the Retry-After but at most a third of the time they have
    /// left.
    bool callers_return = false;
    unsigned seed = 1;
};

struct replay_figures {
    std::size_t asked = 0;
    std::size_t in_target = 0;
    std::size_t late = 0;
    std::size_t refused = 0;
    std::size_t timed_out = 0;
    std::size_t shed = 0;
    std::size_t failed = 0;                      ///< By an upstream that fails a part of its requests.
    std::size_t returned = 0;                    ///< Callers that came back after a refusal.
    std::size_t returned_served = 0;             ///< Those of them that got an answer.
    std::size_t refused_after_wait = 0;          ///< Held for more than an eighth of the target.
    std::map<std::string, std::size_t> arrivals; ///< By upstream.

    double part(std::size_t count) const {
        return asked == 0 ? 0 : static_cast<double>(count) / static_cast<double>(asked);
    }
};

/// Replays a load over real dispatchers, with a manual clock and fake upstreams that have slots, a queue and a memory
/// of objects. Messages take no time; reports between hosts lag by their period.
class load_replay {
public:
    explicit load_replay(replay_options options);
    load_replay(const load_replay&) = delete;
    load_replay& operator=(const load_replay&) = delete;
    ~load_replay();

    replay_figures run();

    /// Adds an upstream; all hosts hear of it at once.
    void add_upstream();

    /// Multiplies the work of an upstream.
    void set_speed(std::size_t upstream, double factor);

    /// Lets an upstream fail a part of its requests at once, as one that is sick behind a good health answer.
    void set_failing(std::size_t upstream, double part);

    /// Requests sent to an upstream so far.
    std::size_t arrivals_at(std::size_t upstream) const;

    /// The processes of all hosts start again and know nothing.
    void restart_hosts();

private:
    struct fake_upstream;
    struct host;
    struct job;

    void at(time_point time, std::function<void()> action);
    void schedule_arrival();
    void arrive(host& entry);
    void place(host& entry, const std::shared_ptr<job>& work);
    void refuse(const std::shared_ptr<job>& work, duration retry_after);
    void dispatch(const std::shared_ptr<job>& work, const std::shared_ptr<observed_upstream>& chosen,
                  duration expected);
    void begin_service(fake_upstream& upstream, const std::shared_ptr<job>& work);
    void end_service(fake_upstream& upstream, const std::shared_ptr<job>& work);
    void finish(const std::shared_ptr<job>& work, attempt_end end, bool is_shed);
    void exchange_reports(host& sender);
    std::unique_ptr<host> make_host_state(std::size_t index);
    std::shared_ptr<observed_upstream> choose_naively(host& entry);

    struct event {
        time_point time;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const event& other) const {
            return time != other.time ? time > other.time : order > other.order;
        }
    };

    replay_options m_options;
    replay_figures m_figures;
    std::mt19937 m_random;
    time_point m_now = test_start;
    std::uint64_t m_order = 0;
    std::uint64_t m_generation = 0;
    waiting_ticket m_ticket = 0;
    std::priority_queue<event> m_events;
    std::vector<std::unique_ptr<fake_upstream>> m_upstreams;
    std::map<upstream_id, fake_upstream*> m_by_id;
    std::vector<std::unique_ptr<host>> m_hosts;
    std::vector<std::unique_ptr<host>> m_ended_hosts; ///< Kept for the jobs that still name them.
    steering_route m_route;
};

} // namespace ragworthinge
