#include "gateway/host_registration.h"

#include "gateway/host_record.h"
#include "net/fiber_runtime.h"
#include "steering/steering_fixture.h"
#include "store/fake_store.h"

#include <catch2/catch.hpp>

#include <exception>
#include <functional>
#include <memory>
#include <vector>

using namespace ragworthinge;
using namespace std::chrono_literals;

namespace {

/// A store that keeps the next transaction without executing it, as if its response was lost. The test executes it
/// later.
class delaying_store final : public platform_store {
public:
    explicit delaying_store(fake_store& store) : m_store(store) {}

    bool delays_next = false;

    void execute_delayed() {
        for (const store_transaction& transaction : m_delayed)
            static_cast<void>(m_store.commit(transaction));
        m_delayed.clear();
    }

    result<std::optional<store_entry>> get(const std::string& key) override { return m_store.get(key); }
    result<store_range> get_prefix(const std::string& prefix) override { return m_store.get_prefix(prefix); }
    result<store_transaction_result> commit(const store_transaction& transaction) override {
        if (!std::exchange(delays_next, false))
            return m_store.commit(transaction);
        m_delayed.push_back(transaction);
        return failure(error_code::outcome_unknown, "no response");
    }
    result<std::int64_t> grant_lease(std::chrono::seconds ttl) override { return m_store.grant_lease(ttl); }
    result<std::chrono::seconds> keep_lease_alive(std::int64_t lease) override {
        return m_store.keep_lease_alive(lease);
    }
    result<store_position>
    watch_prefix(const std::string& prefix, store_position from,
                 const std::function<bool(const std::vector<store_event>&)>& on_events) override {
        return m_store.watch_prefix(prefix, from, on_events);
    }

private:
    fake_store& m_store;
    std::vector<store_transaction> m_delayed;
};

struct registration_fixture {
    void run(const std::function<void()>& body) {
        std::exception_ptr thrown;
        runtime.spawn([&] {
            try {
                body();
            } catch (...) {
                thrown = std::current_exception();
            }
            // Ends the fibers of the registrations before the runtime.
            for (const auto& registration : registrations)
                registration->withdraw();
            runtime.sleep_for(30ms);
            runtime.stop();
        });
        runtime.run();
        if (thrown)
            std::rethrow_exception(thrown);
    }

    /// Starts an incarnation of the host and waits until it has had time to register.
    host_registration& start(incarnation run) {
        registrations.push_back(
            std::make_unique<host_registration>(runtime, store, make_host("front", run), log,
                                                host_registration_options{.renew_period = 10ms, .retry_period = 5ms}));
        registrations.back()->start();
        runtime.sleep_for(30ms);
        return *registrations.back();
    }

    incarnation stored_incarnation() const {
        const auto value = state.value(host_record_key("front"));
        return value ? read_host_record(*value).value().incarnation : 0;
    }

    fiber_runtime runtime;
    fake_store state;
    delaying_store store{state};
    event_log log{"front", log_level::off};
    std::vector<std::unique_ptr<host_registration>> registrations;
};

} // namespace

// Guards against a live host that is unknown to hosts that start later, because the removal of its record by its
// earlier process was executed late: they divide the accounts' rates among fewer hosts.
TEST_CASE("a late removal by an earlier process does not remove the record of the running one") {
    registration_fixture host;
    host.run([&] {
        host_registration& first = host.start(1);
        REQUIRE(host.stored_incarnation() == 1);
        host.store.delays_next = true;
        first.withdraw();
        host.start(2);
        REQUIRE(host.stored_incarnation() == 2);
        host.store.execute_delayed();
        CHECK(host.stored_incarnation() == 2);
    });
}

// Guards against an earlier process that replaces the record of the running one: peers would take the running one for
// the earlier, and the record would end with the earlier lease.
TEST_CASE("a late write by an earlier process does not replace the record of the running one") {
    registration_fixture host;
    host.run([&] {
        host.store.delays_next = true;
        host.start(1);
        REQUIRE(host.stored_incarnation() == 1);
        host.registrations.back()->withdraw();
        host.start(2);
        REQUIRE(host.stored_incarnation() == 2);
        host.store.execute_delayed();
        CHECK(host.stored_incarnation() == 2);
    });
}

// Guards against a host that renews a lease without a record: it serves callers but is unknown to hosts that start.
TEST_CASE("a host whose record has disappeared registers again") {
    registration_fixture host;
    host.run([&] {
        host_registration& registration = host.start(1);
        host.state.remove(host_record_key("front"));
        registration.compare_with_store({}, host.state.position());
        host.runtime.sleep_for(30ms);
        CHECK(host.stored_incarnation() == 1);
    });
}

// Guards against two processes with one name that replace each other's record without end.
TEST_CASE("a host leaves the record of a later process in place") {
    registration_fixture host;
    host.run([&] {
        host_registration& registration = host.start(1);
        host.state.put(host_record_key("front"), write_host_record(make_host("front", 7)));
        registration.compare_with_store({{"front", make_host("front", 7)}}, host.state.position());
        host.runtime.sleep_for(30ms);
        CHECK(host.stored_incarnation() == 7);
        registration.withdraw();
        CHECK(host.stored_incarnation() == 7);
    });
}

// Guards against a host that stays unknown because its record was written at a higher revision than the store has given
// out since it came back from a copy.
TEST_CASE("a host whose record is not in the store's copy registers again") {
    registration_fixture host;
    host.run([&] {
        const auto copy = host.state.copy();
        host_registration& registration = host.start(1);
        REQUIRE(host.stored_incarnation() == 1);
        host.state.come_back_from(copy);
        registration.compare_with_store({}, host.state.position());
        host.runtime.sleep_for(40ms);
        CHECK(host.stored_incarnation() == 1);
    });
}

TEST_CASE("a record that a view of the store does not contain yet is not written again") {
    registration_fixture host;
    host.run([&] {
        host_registration& registration = host.start(1);
        const store_position written_at = host.state.position();
        registration.compare_with_store({}, {.era = written_at.era, .revision = written_at.revision - 1});
        host.runtime.sleep_for(30ms);
        CHECK(host.state.position() == written_at);
    });
}

TEST_CASE("a host that stops removes its record") {
    registration_fixture host;
    host.run([&] {
        host.start(1).withdraw();
        CHECK(host.stored_incarnation() == 0);
    });
}
