#pragma once

#include "net/timer_service.h"
#include "requests/poison_registry.h"

#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace ragworthinge {

class fiber_runtime;
class platform_store;

/// Collaborators of a poison_exchange; all outlive it.
struct poison_exchange_options {
    fiber_runtime& runtime;
    timer_service& timers;
    platform_store& store;
    host_id host;
    incarnation run = 0;
    /// Sends the recent records to the other hosts now and waits, for a bounded time, until the live ones have them.
    std::function<void()> announce;
    /// An event for the log: "request_quarantined", "quarantine_released", "store_garbage".
    std::function<void(const std::string& event, const std::string& detail)> on_event;
};

/// Shares what is known about poisonous requests with the other hosts: at once with heartbeats, durably in the store.
class poison_exchange {
public:
    explicit poison_exchange(poison_exchange_options options);

    /// Reads the records that the store holds.
    void start();

    poison_registry& registry() noexcept { return m_registry; }
    const poison_registry& registry() const noexcept { return m_registry; }

    /// Stores a changed record, sends it to the other hosts and waits until they have it, so that a caller that repeats
    /// its request elsewhere on the answer finds the record there. Blocks the calling fiber.
    void publish(const poison_record& record);

    /// Records for the next heartbeat.
    std::vector<std::string> recent_records(time_point now);

    /// Takes records of another host's heartbeat.
    void take(const std::vector<std::string>& records);

    /// Lets a request run again; false if it is not known.
    bool release(const std::string& fingerprint);

private:
    struct outgoing {
        std::string record;
        time_point until;
    };

    void merge(const std::string& text);
    void store(const poison_record& record);
    void read_all();

    poison_exchange_options m_options;
    poison_registry m_registry;
    std::deque<outgoing> m_recent;
    timer_subscription m_refresh;
};

} // namespace ragworthinge
