#include "check_property.h"
#include "routing_fixture.h"

#include <catch2/catch.hpp>

#include <deque>
#include <random>

using namespace ragworthinge;

namespace {

std::map<account_id, int> pop_counts(fair_queue& queue, int count) {
    std::map<account_id, int> counts;
    for (int index = 0; index < count && queue.front() != nullptr; ++index)
        ++counts[queue.pop_front().account];
    return counts;
}

} // namespace

// Guards against shares that differ from the weights. All accounts stay backlogged, so each one should be served in
// proportion to its weight; a FIFO queue misses this with the same input.
TEST_CASE("backlogged accounts are served in proportion to their weights") {
    std::mt19937 random(11);
    const std::vector<account_weight> weights{{"small", 1}, {"medium", 2.5}, {"large", 8}};
    for (int round = 0; round < 20; ++round) {
        fair_queue queue({.total_limit = 100000, .max_account_fraction = 1});
        queue.set_weights(weights);
        std::deque<account_id> fifo;
        request_ticket ticket = 0;
        for (const auto& item : weights) {
            const int count = 2000 + static_cast<int>(random() % 1000);
            for (int index = 0; index < count; ++index) {
                queue.push(make_entry(++ticket, item.account, test_start));
                fifo.push_back(item.account);
            }
        }
        constexpr int places = 1150;
        const auto served = pop_counts(queue, places);
        for (const auto& item : weights) {
            const double share = places * item.weight / 11.5;
            REQUIRE(std::abs(served.at(item.account) - share) <= 8);
        }
        const auto fifo_served = std::count(fifo.begin(), fifo.begin() + places, "large");
        REQUIRE(std::abs(static_cast<double>(fifo_served) - places * 8 / 11.5) > 8);
    }
}

// Guards against an account that empties its queue after each entry getting a new deficit each time it returns.
TEST_CASE("an account that empties its queue each time does not exceed its weight") {
    fair_queue queue({.total_limit = 100000, .max_account_fraction = 1});
    queue.set_weights(std::vector<account_weight>{{"small", 1}, {"large", 50}});
    request_ticket ticket = 0;
    for (int index = 0; index < 5100; ++index)
        queue.push(make_entry(++ticket, "large", test_start));
    int small = 0;
    for (int index = 0; index < 5100; ++index) {
        if (queue.size_of("small") == 0)
            queue.push(make_entry(++ticket, "small", test_start));
        small += queue.pop_front().account == "small" ? 1 : 0;
    }
    REQUIRE(small >= 99);
    REQUIRE(small <= 102);
}

// Guards against an account with a small weight waiting for a whole burst of one with a large weight.
TEST_CASE("a newly queued account is served after one entry of each other account") {
    fair_queue queue;
    queue.set_weights(std::vector<account_weight>{{"small", 1}, {"large", 500}});
    for (request_ticket ticket = 1; ticket <= 400; ++ticket)
        queue.push(make_entry(ticket, "large", test_start));
    pop_counts(queue, 100);
    queue.push(make_entry(1000, "small", test_start));
    REQUIRE(pop_counts(queue, 2)["small"] == 1);
}

// Guards against requests with a late deadline delaying those with an early one.
TEST_CASE("within an account the earliest deadline is first") {
    fair_queue queue;
    queue.push(make_entry(1, "x", test_start, 900ms));
    queue.push(make_entry(2, "x", test_start, 300ms));
    queue.push(make_entry(3, "x", test_start, 600ms));
    REQUIRE(queue.pop_front().ticket == 2);
    REQUIRE(queue.cancel(3));
    REQUIRE_FALSE(queue.cancel(3));
    REQUIRE(queue.remove_missed(test_start + 901ms).front().ticket == 1);
    REQUIRE(queue.front() == nullptr);
}

// Guards against one account filling the queue. Refusing the arriving entry would refuse the small account.
TEST_CASE("overflow removes the newest entry of the account furthest above its share") {
    fair_queue queue({.total_limit = 100, .max_account_fraction = 1});
    queue.set_weights(std::vector<account_weight>{{"small", 1}, {"large", 500}});
    request_ticket ticket = 0;
    for (int index = 0; index < 100; ++index)
        REQUIRE_FALSE(queue.push(make_entry(++ticket, "large", test_start)).has_value());
    const auto first = queue.push(make_entry(1000, "small", test_start));
    REQUIRE(first.value().entry.ticket == 100);
    const auto second = queue.push(make_entry(1001, "large", test_start));
    REQUIRE(second.value().entry.ticket == 1001);
    REQUIRE(queue.size_of("small") == 1);
    REQUIRE(queue.size() == 100);
}

// Guards against lost or duplicate entries. The model is the set of tickets that were pushed and not yet removed.
TEST_CASE("every entry leaves the queue exactly once") {
    check_property(20231, 200, [] {
        const auto operations = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0, 5)));
        fair_queue queue({.total_limit = 12, .max_account_fraction = 0.5});
        queue.set_weights(std::vector<account_weight>{{"0", 3}, {"1", 0.5}, {"2", 1}});
        std::set<request_ticket> waiting;
        const auto leaves = [&](request_ticket ticket) {
            RC_ASSERT(waiting.erase(ticket) == 1U);
        };
        time_point now = test_start;
        request_ticket ticket = 0;
        for (const auto& [operation, value] : operations) {
            now += 1ms;
            const account_id account = std::to_string(value);
            if (operation < 4) {
                waiting.insert(++ticket);
                const auto refused = queue.push(make_entry(ticket, account, now, 1ms * (1 + value * 7)));
                if (refused)
                    leaves(refused->entry.ticket);
            } else if (operation == 4 && queue.front() != nullptr) {
                leaves(queue.pop_front().ticket);
            } else if (operation == 5) {
                queue.suspend(account, now + 3ms);
            } else if (operation == 6) {
                for (const auto& entry : queue.remove_missed(now))
                    leaves(entry.ticket);
            } else {
                queue.resume(now);
            }
            RC_ASSERT(queue.size() == waiting.size());
            RC_ASSERT(queue.size() <= 12U);
        }
        queue.resume(now + 1s);
        while (queue.front() != nullptr)
            leaves(queue.pop_front().ticket);
        RC_ASSERT(waiting.empty());
    });
}

// Guards against an account that was idle for a long time monopolizing the queue with the deficit of that time.
TEST_CASE("an account accumulates a bounded deficit while idle") {
    fair_queue queue({.total_limit = 100000, .max_account_fraction = 1, .max_credit_rounds = 16});
    request_ticket ticket = 0;
    for (int index = 0; index < 3000; ++index)
        queue.push(make_entry(++ticket, "busy", test_start));
    pop_counts(queue, 1000);
    for (int index = 0; index < 1000; ++index) {
        queue.push(make_entry(++ticket, "returning", test_start));
        queue.push(make_entry(++ticket, "other", test_start));
    }
    const auto served = pop_counts(queue, 300);
    REQUIRE(std::abs(served.at("returning") - 100) <= 16);
    REQUIRE(std::abs(served.at("busy") - 100) <= 16);
}
