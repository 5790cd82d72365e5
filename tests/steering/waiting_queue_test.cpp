#include "steering/waiting_queue.h"

#include "steering/steering_fixture.h"

#include <catch2/catch.hpp>

using namespace ragworthinge;
using namespace std::chrono_literals;

namespace {

waiting_request make_waiting(waiting_ticket ticket, int priority, const std::string& account, duration target,
                             duration latest_start_offset) {
    return {.ticket = ticket,
            .priority = priority,
            .account = account,
            .arrived_at = test_start,
            .target_at = test_start + target,
            .latest_start = test_start + latest_start_offset,
            .min_processing = 100ms};
}

} // namespace

// Guards against serving less urgent requests first.
TEST_CASE("more urgent requests go first") {
    waiting_queue queue;
    queue.push(make_waiting(1, 2, "a", 1s, 2s));
    queue.push(make_waiting(2, 1, "b", 1s, 3s));
    CHECK(queue.order(test_start) == std::vector<waiting_ticket>{2, 1});
    CHECK(queue.count_ahead_of(1) == 1);
    CHECK(queue.count_ahead_of(2) == 2);
}

// Guards against small accounts that starve behind one that sends several times its usual rate.
TEST_CASE("slots go to the account that recently received the fewest") {
    waiting_queue queue;
    std::map<account_id, int> served;
    waiting_ticket ticket = 0;
    std::map<waiting_ticket, account_id> accounts;
    for (int round = 0; round < 200; ++round) {
        const time_point now = test_start + round * 20ms;
        for (int count = 0; count < 5; ++count) {
            accounts[++ticket] = "large";
            queue.push(make_waiting(ticket, 1, "large", 10s, 20s));
        }
        if (round % 2 == 0) {
            accounts[++ticket] = "small";
            queue.push(make_waiting(ticket, 1, "small", 10s, 20s));
        }
        const waiting_ticket next = queue.order(now).front();
        queue.remove(next);
        queue.record_slot(accounts[next], now);
        ++served[accounts[next]];
    }
    CHECK(served["small"] >= 95); // of 100 requests; the large account has 1000
    CHECK(served["large"] >= 95);
}

// Guards against spending slots on responses that are already late while others could still be in time.
TEST_CASE("requests that can still meet their target go before those already late") {
    waiting_queue queue;
    queue.push(make_waiting(1, 1, "a", 200ms, 1s));
    queue.push(make_waiting(2, 1, "a", 600ms, 2s));
    CHECK(queue.order(test_start) == std::vector<waiting_ticket>{1, 2});
    CHECK(queue.order(test_start + 300ms) == std::vector<waiting_ticket>{2, 1});
}
