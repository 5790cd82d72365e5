#include "requests/claim_manager.h"

#include "fake_transaction_store.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

using namespace ragworthinge;
using namespace std::chrono_literals;

namespace {

/// Stage of an attempt at which a schedule injects a fault.
enum class stage { nowhere, claim_commit, claim_granted, dispatched, record_commit, recorded };

/// Fault to inject. At the two commit stages it applies to the transaction of that stage.
enum class fault {
    none,
    crash,                ///< The host crashes before the step takes effect.
    crash_after,          ///< The host crashes after the transaction took effect.
    next_attempt_first,   ///< The caller's next attempt runs before the transaction reaches the store.
    pause,                ///< The host pauses for a minute, in which the caller's next attempt runs.
    lost_reply,           ///< The transaction takes effect, but its outcome is unknown.
    applied_delayed,      ///< The outcome is unknown; the transaction takes effect before a later attempt.
    store_down,           ///< The store rejects this and all later transactions of the stage.
    lost_reply_then_down, ///< The reply of an applied transaction is lost, then the store rejects all others.
    slow,                 ///< The reply arrives after 5 s.
    upstream_fails        ///< The upstream runs the request and closes the connection.
};

struct injection {
    stage where = stage::nowhere;
    fault what = fault::none;
};

const std::vector<injection> all_injections = [] {
    std::vector<injection> all{{}, {stage::dispatched, fault::upstream_fails}};
    for (const stage where : {stage::claim_commit, stage::record_commit}) {
        for (const fault what :
             {fault::crash, fault::crash_after, fault::next_attempt_first, fault::pause, fault::lost_reply,
              fault::applied_delayed, fault::store_down, fault::lost_reply_then_down, fault::slow})
            all.push_back({where, what});
    }
    for (const stage where : {stage::claim_granted, stage::dispatched, stage::recorded}) {
        for (const fault what : {fault::crash, fault::pause})
            all.push_back({where, what});
    }
    return all;
}();

struct host_crashed {};

/// State shared by the hosts of one schedule: store, clocks and the number of runs on the upstream.
struct simulation {
    claim_time time{time_point(1000s), wall_time(1'700'000'000s)};
    fake_transaction_store store;
    std::vector<store_transaction> delayed;
    int runs = 0;
    int false_not_run = 0;
    std::function<void()> next_attempt;

    void advance(duration by) {
        time.now += by;
        time.wall += std::chrono::duration_cast<wall_clock::duration>(by);
    }

    void apply_delayed() {
        for (const store_transaction& transaction : std::exchange(delayed, {}))
            store.commit(transaction);
    }

    void run_next_attempt() {
        if (const auto attempt = std::exchange(next_attempt, nullptr))
            attempt();
    }

    void pause() {
        run_next_attempt();
        advance(60s);
    }

    result<store_transaction_result> commit(const store_transaction& transaction, fault& what) {
        const fault current = what;
        if (current != fault::store_down && current != fault::lost_reply_then_down)
            what = fault::none;
        switch (current) {
        case fault::crash:
            throw host_crashed{};
        case fault::crash_after:
            store.commit(transaction);
            throw host_crashed{};
        case fault::lost_reply:
            store.commit(transaction);
            return failure(error_code::outcome_unknown, "reply lost");
        case fault::applied_delayed:
            delayed.push_back(transaction);
            return failure(error_code::timeout, "no reply");
        case fault::lost_reply_then_down:
            store.commit(transaction);
            what = fault::store_down;
            return failure(error_code::outcome_unknown, "reply lost");
        case fault::store_down:
            return failure(error_code::unavailable, "store down");
        case fault::slow: {
            auto outcome = store.commit(transaction);
            advance(5s);
            return outcome;
        }
        case fault::next_attempt_first:
            run_next_attempt();
            return store.commit(transaction);
        case fault::pause: {
            auto outcome = store.commit(transaction);
            pause();
            return outcome;
        }
        default:
            return store.commit(transaction);
        }
    }
};

stored_response sample_answer() {
    http_response_head head;
    head.status = 201;
    head.fields.add("Location", "/bookings/1");
    return stored_response::from_response(head, "booked");
}

/// Reply that the caller received and whether the upstream ran this attempt.
struct attempt_result {
    std::string reply;
    bool ran = false;
};

/// Simulated host that dispatches only while it holds a stored claim.
class claiming_host {
public:
    explicit claiming_host(std::string name) : m_name(std::move(name)) { restart(); }

    attempt_result attempt(simulation& shared, injection where) {
        attempt_result result;
        try {
            result.reply = run(shared, where, result.ran);
        } catch (const host_crashed&) {
            restart();
            result.reply = "lost";
        }
        return result;
    }

private:
    void restart() {
        m_claim_manager = std::make_unique<claim_manager>(claim_manager_options{.host = m_name, .run = ++m_run});
        m_decisions.clear();
    }

    std::string run(simulation& shared, injection where, bool& ran) {
        const auto started = m_claim_manager->begin({"north", "key", "f", shared.time.now + 10s}, shared.time);
        fault claim_fault = where.where == stage::claim_commit ? where.what : fault::none;
        if (started.decision)
            m_decisions.emplace(started.ticket, *started.decision);
        pump(shared, claim_fault, [&] { return m_decisions.contains(started.ticket); });
        REQUIRE(m_decisions.contains(started.ticket));
        const claim_decision decision = m_decisions.at(started.ticket);
        if (decision.verdict == claim_verdict::replay)
            return "answer " + decision.response->body;
        if (const auto reason = to_refusal(decision))
            return std::string(to_string(reason->outcome()));

        const time_point deadline = shared.time.now + 9s;
        step(shared, where, stage::claim_granted);
        if (shared.time.now >= deadline) {
            m_claim_manager->release(started.ticket);
            fault none = fault::none;
            pump(shared, none, [&] { return m_claim_manager->backlog() == 0; });
            return "not-run";
        }
        ++shared.runs;
        ran = true;
        step(shared, where, stage::dispatched);
        if (where.what == fault::upstream_fails)
            m_claim_manager->complete_unknown(started.ticket);
        else
            m_claim_manager->complete(started.ticket, sample_answer());
        fault record_fault = where.where == stage::record_commit ? where.what : fault::none;
        pump(shared, record_fault, [&] { return m_claim_manager->backlog() == 0; });
        step(shared, where, stage::recorded);
        return where.what == fault::upstream_fails ? "unknown" : "answer booked";
    }

    void step(simulation& shared, injection where, stage current_stage) {
        if (where.where != current_stage)
            return;
        if (where.what == fault::crash)
            throw host_crashed{};
        const incarnation run = m_run;
        if (where.what == fault::pause)
            shared.pause();
        if (run != m_run)
            throw host_crashed{};
    }

    void pump(simulation& shared, fault& what, const std::function<bool()>& done) {
        for (int round = 0; round < 60 && !done(); ++round) {
            if (m_claim_manager->needs_lease(shared.time.now))
                m_claim_manager->set_lease(1, shared.time.now);
            if (const auto batch = m_claim_manager->next_batch(shared.time)) {
                const incarnation run = m_run;
                const auto outcome = shared.commit(batch->transaction, what);
                // An attempt during the pause may have crashed the process of this attempt.
                if (run != m_run)
                    throw host_crashed{};
                m_claim_manager->on_result(batch->id, outcome, shared.time);
            }
            for (claim_manager::decision_ready& item : m_claim_manager->take_decisions(shared.time))
                REQUIRE(m_decisions.emplace(item.ticket, std::move(item.decision)).second);
            if (!done())
                shared.advance(50ms);
        }
    }

    std::string m_name;
    incarnation m_run = 0;
    std::unique_ptr<claim_manager> m_claim_manager;
    std::map<claim_ticket, claim_decision> m_decisions;
};

/// Baseline without stored claims: finished keys are kept in memory, errors are retried and finally reported as not
/// run.
class uncoordinated_host {
public:
    explicit uncoordinated_host(const std::string& /*name*/) {}

    attempt_result attempt(simulation& shared, injection where) {
        if (m_finished)
            return {"answer booked"};
        if (where.where == stage::claim_commit && where.what == fault::crash)
            return {"lost"};
        if (where.what == fault::pause && where.where != stage::recorded)
            shared.pause();
        ++shared.runs;
        if (where.what == fault::crash || where.what == fault::crash_after)
            return {"lost", true};
        if (where.what == fault::upstream_fails)
            ++shared.runs;
        if (where.what == fault::upstream_fails || where.what == fault::store_down)
            return {"not-run", true};
        m_finished = true;
        return {"answer booked", true};
    }

private:
    bool m_finished = false;
};

struct schedule_counts {
    int schedules = 0;
    int duplicate_runs = 0;
    int false_not_run = 0;
    int wrong_answers = 0;
    int recovered = 0; ///< Schedules that end with the stored response.
};

template <class Host>
std::string counted_attempt(simulation& shared, Host& host, injection where) {
    const attempt_result result = host.attempt(shared, where);
    shared.false_not_run += result.ran && result.reply == "not-run" ? 1 : 0;
    return result.reply;
}

template <class Host>
void run_schedule(injection first, injection second, bool same_host, schedule_counts& result) {
    simulation shared;
    Host one("one");
    Host two("two");
    Host three("three");
    std::vector<std::string> replies;
    Host& next = same_host ? one : two;
    shared.next_attempt = [&] {
        replies.push_back(counted_attempt(shared, next, second));
    };
    replies.push_back(counted_attempt(shared, one, first));
    shared.apply_delayed();
    shared.run_next_attempt();
    for (const duration later : {duration(2s), duration(60s), duration(14h)}) {
        shared.apply_delayed();
        shared.advance(later);
        const bool ran_before = shared.runs > 0;
        replies.push_back(counted_attempt(shared, later == 60s ? one : three, {}));
        // The store responds again, so a repeated request must learn that an earlier attempt may have run.
        shared.false_not_run += ran_before && replies.back() == "not-run" ? 1 : 0;
    }
    ++result.schedules;
    result.duplicate_runs += shared.runs > 1 ? 1 : 0;
    result.false_not_run += shared.false_not_run;
    result.recovered += replies.back() == "answer booked" ? 1 : 0;
    for (const std::string& reply : replies)
        result.wrong_answers += reply.starts_with("answer") && (reply != "answer booked" || shared.runs == 0) ? 1 : 0;
}

template <class Host>
schedule_counts run_all_schedules() {
    schedule_counts result;
    for (const injection first : all_injections) {
        for (const injection second : all_injections) {
            // Both host types run both cases. For the baseline, a pause on one host only repeats the case of two hosts.
            for (const bool same_host : {false, true})
                run_schedule<Host>(first, second, same_host, result);
        }
    }
    return result;
}

} // namespace

// Guards against a request that runs twice, or is reported as not run although it ran, after any pair of faults in
// two attempts on the same host or on two hosts.
TEST_CASE("no pair of faults executes a claimed request twice or reports an executed request as not run") {
    const schedule_counts claimed = run_all_schedules<claiming_host>();
    WARN("schedules " << claimed.schedules << ", executed twice " << claimed.duplicate_runs << ", false not-run "
                      << claimed.false_not_run << ", ending with the stored response " << claimed.recovered);
    CHECK(claimed.duplicate_runs == 0);
    CHECK(claimed.false_not_run == 0);
    CHECK(claimed.wrong_answers == 0);
    CHECK(claimed.recovered > claimed.schedules / 2);

    const schedule_counts uncoordinated = run_all_schedules<uncoordinated_host>();
    WARN("baseline without claims: executed twice " << uncoordinated.duplicate_runs << ", false not-run "
                                                    << uncoordinated.false_not_run);
    CHECK(uncoordinated.duplicate_runs > 0);
    CHECK(uncoordinated.false_not_run > 0);
}

namespace {

/// Runs one claim_manager against a store without faults.
struct claim_manager_fixture {
    claim_time time{time_point(1000s), wall_time(1'700'000'000s)};
    fake_transaction_store store;
    claim_manager manager{{.host = "one", .run = 1}};
    std::map<claim_ticket, claim_decision> decisions;

    claim_manager_fixture() { manager.set_lease(1, time.now); }

    claim_ticket begin(int key, const std::string& fingerprint = "f") {
        const auto started = manager.begin({"north", std::to_string(key), fingerprint, time.now + 10s}, time);
        if (started.decision)
            decisions.emplace(started.ticket, *started.decision);
        return started.ticket;
    }

    void put(int key, claim_record record) {
        store.put(claim_store_key("north", std::to_string(key)), record.encode());
    }

    void advance(duration by) {
        time.now += by;
        time.wall += std::chrono::duration_cast<wall_clock::duration>(by);
    }

    /// Commits the next transaction and collects decisions. Returns the number of operations; zero without transaction.
    std::size_t process_next() {
        const auto batch = manager.next_batch(time);
        if (batch)
            manager.on_result(batch->id, store.commit(batch->transaction), time);
        for (claim_manager::decision_ready& item : manager.take_decisions(time))
            REQUIRE(decisions.emplace(item.ticket, std::move(item.decision)).second);
        return batch ? batch->transaction.failure.size() : 0;
    }

    claim_verdict verdict(claim_ticket ticket) { return decisions.at(ticket).verdict; }
};

claim_record record_of(std::string fingerprint, claim_state state, wall_time abandoned_at) {
    claim_record record{std::move(fingerprint), "other/1/1", "other", state, abandoned_at - 15s, abandoned_at, {}};
    if (state == claim_state::completed)
        record.response = sample_answer();
    return record;
}

} // namespace

// Guards against more than 20 store writes per second and host, against a delayed first claim, and against
// transactions that the store rejects because of their size.
TEST_CASE("the first claim is sent at once and then one transaction of at most 100 operations per 50 ms") {
    claim_manager_fixture fixture;
    fixture.begin(0);
    CHECK(fixture.process_next() == 1);
    for (int key = 1; key <= 250; ++key)
        fixture.begin(key);
    CHECK(fixture.process_next() == 0);
    fixture.advance(49ms);
    CHECK(fixture.process_next() == 0);
    fixture.advance(1ms);
    CHECK(fixture.process_next() == 100);
    CHECK(fixture.process_next() == 0);
    fixture.advance(50ms);
    CHECK(fixture.process_next() == 100);
    fixture.advance(50ms);
    CHECK(fixture.process_next() == 50);
    CHECK(fixture.store.entries().size() == 251);

    // Large responses are split over several transactions.
    http_response_head head;
    head.status = 200;
    for (claim_ticket ticket = 1; ticket <= 80; ++ticket)
        fixture.manager.complete(ticket, stored_response::from_response(head, std::string(16000, 'x')));
    fixture.advance(50ms);
    const std::size_t first = fixture.process_next();
    CHECK(first < 40);
    CHECK(first > 20);
}

// Guards against an existing claim that makes the other claims of its transaction fail or wait.
TEST_CASE("a transaction with existing claims gives each request its own decision") {
    claim_manager_fixture fixture;
    const wall_time later = fixture.time.wall + 10s;
    fixture.put(1, record_of("f", claim_state::running, later));
    fixture.put(2, record_of("f", claim_state::running, fixture.time.wall - 1s));
    fixture.put(3, record_of("f", claim_state::completed, later));
    fixture.put(4, record_of("f", claim_state::unknown, later));
    fixture.put(5, record_of("g", claim_state::completed, later));
    fixture.store.put(claim_store_key("north", "6"), "garbage");
    std::map<int, claim_ticket> tickets;
    for (int key = 1; key <= 8; ++key)
        tickets[key] = fixture.begin(key);
    fixture.process_next();
    CHECK(fixture.verdict(tickets[1]) == claim_verdict::running);
    CHECK(fixture.verdict(tickets[2]) == claim_verdict::unknown);
    CHECK(fixture.verdict(tickets[3]) == claim_verdict::replay);
    CHECK(fixture.decisions.at(tickets[3]).response->body == "booked");
    CHECK(fixture.decisions.at(tickets[3]).response->fields.find("Location") == "/bookings/1");
    CHECK(fixture.verdict(tickets[4]) == claim_verdict::unknown);
    CHECK(fixture.verdict(tickets[5]) == claim_verdict::key_reused);
    CHECK(fixture.verdict(tickets[6]) == claim_verdict::unknown);
    CHECK(fixture.decisions.at(tickets[6]).detail.find("stored record, byte 0") != std::string::npos);
    CHECK_FALSE(fixture.decisions.contains(tickets[7]));

    // New claims that conflict, too, do not delay the rest of the first transaction.
    fixture.put(9, record_of("f", claim_state::running, later));
    const claim_ticket conflicting = fixture.begin(9);
    fixture.advance(50ms);
    CHECK(fixture.process_next() == 2);
    CHECK(fixture.verdict(tickets[7]) == claim_verdict::proceed);
    CHECK(fixture.verdict(tickets[8]) == claim_verdict::proceed);
    fixture.advance(50ms);
    fixture.process_next();
    CHECK(fixture.verdict(conflicting) == claim_verdict::running);
}

// Guards against two requests of the same host that run for one key, and against claims that remain in memory after
// their result is stored.
TEST_CASE("repeats on the same host are decided without the store while the claim is open") {
    claim_manager_fixture fixture;
    const claim_ticket first = fixture.begin(1);
    CHECK(fixture.verdict(fixture.begin(1)) == claim_verdict::running);
    CHECK(fixture.verdict(fixture.begin(1, "g")) == claim_verdict::key_reused);
    fixture.process_next();
    REQUIRE(fixture.verdict(first) == claim_verdict::proceed);
    fixture.manager.complete(first, stored_response::without_content(200));
    const claim_ticket repeat = fixture.begin(1);
    REQUIRE(fixture.verdict(repeat) == claim_verdict::replay);
    CHECK(to_refusal(fixture.decisions.at(repeat))->kind == refusal_kind::answer_not_kept);
    fixture.advance(50ms);
    fixture.process_next();
    CHECK(fixture.manager.backlog() == 0);

    const claim_ticket released = fixture.begin(2);
    fixture.advance(50ms);
    fixture.process_next();
    fixture.manager.release(released);
    const claim_ticket again = fixture.begin(2);
    CHECK(fixture.verdict(fixture.begin(2)) == claim_verdict::running);
    for (int round = 0; round < 2; ++round) {
        CHECK_FALSE(fixture.decisions.contains(again));
        fixture.advance(50ms);
        fixture.process_next();
    }
    CHECK(fixture.verdict(again) == claim_verdict::proceed);
}

// Guards against claims without a retention lease and against requests that hang while no lease can be obtained.
TEST_CASE("claims carry the retention lease and are refused while there is none") {
    claim_manager_fixture fixture;
    fixture.begin(1);
    const auto batch = fixture.manager.next_batch(fixture.time);
    REQUIRE(batch);
    CHECK(batch->transaction.success.front().lease == 1);
    fixture.manager.on_result(batch->id, failure(error_code::protocol_violation, "requested lease not found"),
                              fixture.time);
    CHECK(fixture.manager.needs_lease(fixture.time.now));
    fixture.advance(1s);
    CHECK(fixture.process_next() == 0);
    CHECK(fixture.verdict(1) == claim_verdict::unavailable);
    fixture.manager.set_lease(2, fixture.time.now);
    CHECK_FALSE(fixture.manager.needs_lease(fixture.time.now + 59min));
    CHECK(fixture.manager.needs_lease(fixture.time.now + 60min));
}

// Guards against a claim that was reported as not run but blocks the caller's retries for the whole retention period,
// and against a dispatch after that report.
TEST_CASE("a claim that was given up with an unknown outcome is removed once the store responds") {
    claim_manager_fixture fixture;
    const claim_ticket ticket = fixture.begin(1);
    const auto batch = fixture.manager.next_batch(fixture.time);
    fixture.store.commit(batch->transaction);
    fixture.manager.on_result(batch->id, failure(error_code::outcome_unknown, "reply lost"), fixture.time);
    fixture.advance(1s);
    SECTION("while it waits") {
        CHECK(fixture.manager.take_decisions(fixture.time).front().decision.verdict == claim_verdict::unavailable);
    }
    SECTION("while it is in flight") {
        fixture.time.now -= 500ms;
        const auto again = fixture.manager.next_batch(fixture.time);
        REQUIRE(again);
        fixture.advance(500ms);
        CHECK(fixture.manager.take_decisions(fixture.time).front().decision.verdict == claim_verdict::unavailable);
        fixture.manager.on_result(again->id, fixture.store.commit(again->transaction), fixture.time);
    }
    for (int round = 0; round < 3; ++round) {
        fixture.process_next();
        fixture.advance(50ms);
    }
    CHECK(fixture.store.entries().empty());
    CHECK(fixture.manager.backlog() == 0);
    CHECK_FALSE(fixture.decisions.contains(ticket));
}

// Guards against a dispatch after the caller's deadline when the store or this host is slow.
TEST_CASE("a claim that is confirmed after the deadline is refused and removed") {
    claim_manager_fixture fixture;
    const auto started = fixture.manager.begin({"north", "1", "f", fixture.time.now + 100ms}, fixture.time);
    const auto batch = fixture.manager.next_batch(fixture.time);
    const auto outcome = fixture.store.commit(batch->transaction);
    fixture.advance(100ms);
    fixture.manager.on_result(batch->id, outcome, fixture.time);
    fixture.process_next();
    CHECK(fixture.verdict(started.ticket) == claim_verdict::unavailable);
    fixture.advance(50ms);
    fixture.process_next();
    CHECK(fixture.store.entries().empty());
}

// Guards against a delayed removal that deletes a newer claim of another host, which would let a third attempt run.
TEST_CASE("a removal that takes effect late does not delete a newer claim of the same key") {
    claim_manager_fixture fixture;
    const claim_ticket ticket = fixture.begin(1);
    fixture.process_next();
    fixture.manager.release(ticket);
    fixture.advance(50ms);
    const auto removal = fixture.manager.next_batch(fixture.time);
    fixture.store.commit(removal->transaction);
    fixture.put(1, record_of("f", claim_state::running, fixture.time.wall + 10s));
    fixture.store.commit(removal->transaction);
    CHECK(fixture.store.entries().size() == 1);
}

// Guards against a response that cannot be replayed because the store was unavailable when it was to be recorded.
TEST_CASE("the result of a request is recorded when the store recovers") {
    claim_manager_fixture fixture;
    const claim_ticket ticket = fixture.begin(1);
    fixture.process_next();
    fixture.manager.complete(ticket, sample_answer());
    for (const error_code code : {error_code::unavailable, error_code::timeout, error_code::budget_exhausted}) {
        fixture.advance(1s);
        const auto batch = fixture.manager.next_batch(fixture.time);
        REQUIRE(batch);
        fixture.manager.on_result(batch->id, failure(code, "store down"), fixture.time);
        CHECK(fixture.process_next() == 0);
    }
    fixture.advance(1s);
    CHECK(fixture.process_next() == 1);
    const auto stored = claim_record::decode(fixture.store.entries().begin()->second.value);
    CHECK(stored.value().state == claim_state::completed);
}

// Guards against treating a request as abandoned while its host may still finish it within the deadline.
TEST_CASE("a claim counts as abandoned five seconds after its deadline") {
    claim_manager_fixture fixture;
    fixture.begin(1);
    fixture.process_next();
    const auto stored = claim_record::decode(fixture.store.entries().begin()->second.value);
    CHECK(stored.value().abandoned_at == fixture.time.wall + 15s);
}

namespace {

/// Simulates three hosts, forty keys and a store that fails at random. Each run takes up to 500 ms.
class random_fleet {
public:
    explicit random_fleet(unsigned seed) : m_random(seed) {
        for (int index = 0; index < 3; ++index)
            restart(index);
    }

    void run(int steps, bool with_faults) {
        m_is_fault_free = !with_faults;
        for (int step = 0; step < steps; ++step) {
            m_time.now += 10ms;
            m_time.wall += 10ms;
            const int host = draw(3);
            if (draw(2) == 0)
                attempt(host, draw(40));
            if (with_faults && draw(150) == 0)
                restart(host);
            if (with_faults && draw(100) == 0)
                m_down_until = m_time.now + draw(3000) * 1ms;
            for (int each = 0; each < 3; ++each)
                process_next(m_hosts[each], with_faults);
        }
    }

    /// Advances the clocks past deadlines and grace periods.
    void wait(std::chrono::seconds time) {
        m_time.now += time;
        m_time.wall += time;
    }

    int duplicate_runs() const {
        return static_cast<int>(std::count_if(m_runs.begin(), m_runs.end(), [](auto run) { return run.second > 1; }));
    }

    std::map<std::string, int> replies; ///< Number of attempts by outcome.
    int wrong_answers = 0;
    int false_not_run = 0;

private:
    struct waiting_attempt {
        int key = 0;
        bool met_no_fault = false;
    };

    struct host {
        std::unique_ptr<claim_manager> manager;
        std::map<claim_ticket, waiting_attempt> waiting;                 ///< Attempts without a decision.
        std::multimap<time_point, std::pair<claim_ticket, int>> running; ///< By end of the run.
    };

    int draw(int limit) { return static_cast<int>(m_random() % static_cast<unsigned>(limit)); }

    void restart(int index) {
        const std::string name = std::to_string(index);
        m_hosts[index] = {
            std::make_unique<claim_manager>(claim_manager_options{.host = name, .run = ++m_last_run}), {}, {}};
    }

    void attempt(int index, int key) {
        host& simulated = m_hosts[index];
        const auto started = simulated.manager->begin({"north", std::to_string(key), "f", m_time.now + 2s}, m_time);
        simulated.waiting.emplace(started.ticket, waiting_attempt{key, m_is_fault_free});
        if (started.decision)
            reply(simulated, started.ticket, *started.decision);
    }

    void reply(host& simulated, claim_ticket ticket, const claim_decision& decision) {
        const auto waiting = simulated.waiting.extract(ticket);
        REQUIRE_FALSE(waiting.empty());
        const waiting_attempt attempted = waiting.mapped();
        const int key = attempted.key;
        if (decision.verdict == claim_verdict::proceed) {
            if (draw(10) == 0) {
                simulated.manager->release(ticket);
                return;
            }
            ++m_runs[key];
            simulated.running.emplace(m_time.now + draw(500) * 1ms, std::pair(ticket, key));
            return;
        }
        if (decision.verdict == claim_verdict::replay && decision.response->body != std::to_string(key))
            ++wrong_answers;
        const auto reason = to_refusal(decision);
        const std::string outcome(reason ? to_string(reason->outcome()) : "answer");
        ++replies[outcome];
        // While the store works, an attempt must not be told that the request did not run if an earlier attempt ran it.
        if (outcome == "not-run" && m_runs[key] > 0 && attempted.met_no_fault)
            ++false_not_run;
    }

    void process_next(host& simulated, bool with_faults) {
        if (simulated.manager->needs_lease(m_time.now))
            simulated.manager->set_lease(1, m_time.now);
        while (!simulated.running.empty() && simulated.running.begin()->first <= m_time.now) {
            const auto [ticket, key] = simulated.running.extract(simulated.running.begin()).mapped();
            http_response_head head;
            head.status = 200;
            if (draw(10) == 0)
                simulated.manager->complete_unknown(ticket);
            else
                simulated.manager->complete(ticket, stored_response::from_response(head, std::to_string(key)));
        }
        if (const auto batch = simulated.manager->next_batch(m_time))
            simulated.manager->on_result(batch->id, commit(batch->transaction, with_faults), m_time);
        for (const claim_manager::decision_ready& item : simulated.manager->take_decisions(m_time))
            reply(simulated, item.ticket, item.decision);
    }

    result<store_transaction_result> commit(const store_transaction& transaction, bool with_faults) {
        if (with_faults && m_time.now < m_down_until)
            return failure(error_code::unavailable, "store down");
        const int commit_fault = with_faults ? draw(20) : 10;
        if (commit_fault == 0)
            m_delayed.push_back(transaction);
        if (commit_fault == 1)
            m_store.commit(transaction);
        if (commit_fault <= 1)
            return failure(error_code::outcome_unknown, "no reply");
        if (commit_fault == 2) {
            for (const store_transaction& delayed : std::exchange(m_delayed, {}))
                m_store.commit(delayed);
        }
        return m_store.commit(transaction);
    }

    std::mt19937 m_random;
    claim_time m_time{time_point(1000s), wall_time(1'700'000'000s)};
    fake_transaction_store m_store;
    std::vector<store_transaction> m_delayed;
    time_point m_down_until;
    bool m_is_fault_free = false;
    incarnation m_last_run = 0;
    std::array<host, 3> m_hosts;
    std::map<int, int> m_runs;
};

} // namespace

// Guards against faults that occur only when many claims, results and removals share transactions.
TEST_CASE("random faults in a fleet neither execute a request twice nor mix up responses") {
    std::map<std::string, int> replies;
    for (unsigned seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        random_fleet fleet(seed);
        fleet.run(2000, true);
        fleet.wait(30s);
        fleet.run(300, false);
        REQUIRE(fleet.duplicate_runs() == 0);
        REQUIRE(fleet.wrong_answers == 0);
        REQUIRE(fleet.false_not_run == 0);
        for (const auto& [outcome, count] : fleet.replies)
            replies[outcome] += count;
    }
    // Checks that every outcome occurred often enough for the checks above to mean something.
    for (const char* outcome : {"answer", "running", "unknown", "not-run"})
        CHECK(replies[outcome] > 100);
}
