#pragma once

#include "routing/dispatcher.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace ragworthinge {

using namespace std::chrono_literals;

inline constexpr time_point test_start{1000s};

/// Token bucket limiter for tests. Accounts without a limit are never refused.
struct bucket_limiter {
    struct bucket {
        double rate = 0;
        double burst = 0;
        double available = 0;
        time_point filled_at = test_start;
    };
    std::map<account_id, bucket> buckets;
    std::map<account_id, int> charges;

    void limit(const account_id& account, double rate, double burst) {
        buckets[account] = {rate, burst, burst, test_start};
    }

    bool try_charge(const account_id& account, time_point now) {
        const auto position = buckets.find(account);
        if (position != buckets.end()) {
            bucket& item = position->second;
            const std::chrono::duration<double> elapsed = now - item.filled_at;
            item.available = std::min(item.burst, item.available + item.rate * elapsed.count());
            item.filled_at = now;
            if (item.available < 1)
                return false;
            item.available -= 1;
        }
        ++charges[account];
        return true;
    }
};

inline std::vector<upstream_configuration> make_upstreams(int count, std::uint32_t slots) {
    std::vector<upstream_configuration> upstreams;
    for (int index = 0; index < count; ++index) {
        upstream_configuration upstream;
        upstream.name = "u" + std::to_string(index);
        upstream.region = "north";
        upstream.failure_domain = index % 2 == 0 ? "a" : "b";
        upstream.slots = slots;
        upstreams.push_back(upstream);
    }
    return upstreams;
}

inline queue_entry make_entry(request_ticket ticket, const account_id& account, time_point now, duration timeout = 2s) {
    queue_entry entry;
    entry.ticket = ticket;
    entry.account = account;
    entry.enqueued_at = now;
    entry.deadline = now + timeout;
    return entry;
}

} // namespace ragworthinge
