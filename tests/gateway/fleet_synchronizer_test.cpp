#include "gateway/fleet_synchronizer.h"

#include "base/boot_clock.h"
#include "gateway/host_record.h"
#include "net/fiber_runtime.h"
#include "routing/check_property.h"
#include "steering/steering_fixture.h"
#include "store/fake_store.h"

#include <catch2/catch.hpp>

#include <exception>

using namespace ragworthinge;
using namespace std::chrono_literals;

namespace {

/// Entries of the test: "config" holds a configuration version, "up/ID" is an upstream, "drain/DOMAIN" an evacuation.
/// An upstream's value may be "ready N" or "drains N" with the number N of the announcement.
class test_adapter final : public deployment_adapter {
public:
    result<settings_text> read_settings() const override { return settings_text{}; }
    const header_field_names& field_names() const override { return m_field_names; }
    result<std::unique_ptr<platform_store>> connect_store(fiber_runtime&, const gateway_settings&) const override {
        return failure(error_code::unavailable, "not used");
    }
    std::vector<std::string> watched_prefixes() const override { return {"config", "up/", "drain/"}; }
    decoded_entry decode_entry(const std::string& key, const std::optional<std::string>& value) const override {
        if (key == "config" && value)
            return {configuration_submitted{make_configuration(std::stoll(*value))}, {}};
        if (key.starts_with("up/") && value == "broken")
            return {upstream_withdrawn{key.substr(3)}, "broken"};
        if (key.starts_with("up/") && value)
            return {upstream_announced{decode_upstream(key.substr(3), *value)}, {}};
        if (key.starts_with("up/"))
            return {upstream_withdrawn{key.substr(3)}, {}};
        if (key.starts_with("drain/"))
            return {evacuation_changed{key.substr(6), value.has_value()}, {}};
        return {};
    }
    bool is_readiness_target(std::string_view) const override { return false; }
    std::optional<lookup_query> parse_lookup(std::string_view) const override { return std::nullopt; }
    std::string format_lookup_answer(const std::vector<entry_host>&, std::chrono::milliseconds) const override {
        return {};
    }

private:
    static upstream_description decode_upstream(const upstream_id& id, const std::string& value) {
        upstream_description description = make_upstream(id);
        description.is_draining = value.starts_with("drains ");
        if (description.is_draining || value.starts_with("ready "))
            description.sequence = std::stoll(value.substr(value.find(' ')));
        return description;
    }

    header_field_names m_field_names;
};

struct synchronizer_fixture {
    explicit synchronizer_fixture(duration recovery_period = 2000ms, duration outage_threshold = 100ms)
        : fleet(make_fleet()), membership(make_membership("host")), log("host", log_level::off),
          synchronizer(runtime, store, adapter, fleet, membership, log,
                       {.poll_period = 10ms,
                        .retry_period = 10ms,
                        .peer_snapshot_delay = 60ms,
                        .outage_threshold = outage_threshold,
                        .recovery_period = recovery_period}) {}

    void run(const std::function<void()>& body) {
        std::exception_ptr thrown;
        runtime.spawn([&] {
            try {
                body();
            } catch (...) {
                thrown = std::current_exception();
            }
            runtime.stop();
        });
        runtime.run();
        if (thrown)
            std::rethrow_exception(thrown);
    }

    void wait(duration time = 40ms) { runtime.sleep_for(time); }

    /// Waits until the condition holds; false if it does not within 5 s.
    bool wait_until(const std::function<bool()>& condition) {
        const time_point end = boot_time_now() + 5s;
        while (!condition() && boot_time_now() < end)
            wait(5ms);
        return condition();
    }

    std::int64_t version() const { return fleet.table() == nullptr ? 0 : fleet.table()->configuration().version; }

    fiber_runtime runtime;
    fake_store store;
    test_adapter adapter;
    fleet_state fleet;
    fleet_membership membership;
    event_log log;
    fleet_synchronizer synchronizer;
};

} // namespace

TEST_CASE("changes in the store are applied to the fleet state") {
    synchronizer_fixture host;
    host.run([&] {
        host.store.put("config", "3");
        host.store.put("up/one", "x");
        host.store.put(host_record_key("other"), write_host_record(make_host("other")));
        host.synchronizer.start();
        host.wait();
        CHECK(host.synchronizer.is_synchronized());
        CHECK(host.version() == 3);
        CHECK(host.membership.size() == 2);
        host.store.put("config", "8");
        host.store.put("up/two", "x");
        host.store.remove("up/one");
        host.store.put("drain/gulf-a", "{}");
        host.wait();
        CHECK(host.version() == 8);
        CHECK(host.fleet.upstreams().size() == 1);
        CHECK(host.fleet.is_evacuated("gulf-a"));
        host.store.remove("drain/gulf-a");
        host.wait();
        CHECK_FALSE(host.fleet.is_evacuated("gulf-a"));
    });
}

// Guards against upstreams that stay known because their removal was in the history that the store compacted.
TEST_CASE("compacted history causes all entries to be read again") {
    synchronizer_fixture host;
    host.run([&] {
        host.store.put("config", "3");
        host.store.put("up/one", "x");
        host.synchronizer.start();
        host.wait();
        host.store.faults.down = true;
        host.wait(30ms);
        host.store.remove("up/one");
        host.store.put("config", "4");
        host.store.compact();
        host.store.faults.down = false;
        host.wait();
        CHECK(host.version() == 4);
        CHECK(host.fleet.upstreams().empty());
    });
}

// Guards against an empty fleet after a store outage in which the leases of all registrations expired.
TEST_CASE("entries that lapsed during a store outage stay for the grace period") {
    synchronizer_fixture host;
    host.run([&] {
        host.store.put("config", "3");
        host.store.put("up/one", "x");
        host.store.put("up/two", "x");
        host.synchronizer.start();
        host.wait();
        host.store.faults.down = true;
        host.wait(200ms);
        host.store.remove("up/one");
        host.store.remove("up/two");
        host.store.faults.down = false;
        host.wait();
        REQUIRE(host.fleet.upstreams().size() == 2);
        CHECK(host.fleet.find_upstream("one")->is_usable(boot_time_now()));
        CHECK(host.fleet.find_upstream("one")->is_lapsed());
        host.store.put("up/two", "y");
        host.wait();
        CHECK_FALSE(host.fleet.find_upstream("two")->is_lapsed());
        CHECK(host.fleet.drop_expired(boot_time_now() + 2s).size() == 1);
    });
}

// Guards against a watch without events that is taken for a store outage: requests were then sent to a removed upstream
// for two more seconds.
TEST_CASE("an entry that is removed after a watch without events is gone at once") {
    synchronizer_fixture host;
    host.run([&] {
        host.store.put("config", "3");
        host.store.put("up/one", "x");
        host.store.before_call = [&](std::string_view call) {
            if (call == "watch_prefix")
                host.runtime.sleep_for(150ms);
        };
        host.synchronizer.start();
        host.wait(350ms);
        host.store.remove("up/one");
        host.wait(200ms);
        CHECK(host.fleet.upstreams().empty());
    });
}

// Guards against a host that cannot reach the store and therefore keeps using revoked keys and draining upstreams.
TEST_CASE("a host that cannot reach the store applies a peer's snapshot") {
    synchronizer_fixture other;
    std::string snapshot;
    other.run([&] {
        other.store.put("config", "9");
        other.store.put("up/two", "x");
        other.synchronizer.start();
        other.wait();
        snapshot = other.synchronizer.snapshot();
    });
    synchronizer_fixture host;
    host.run([&] {
        host.store.put("up/one", "x");
        host.synchronizer.start();
        host.wait();
        host.store.faults.down = true;
        std::vector<store_position> requested_positions;
        host.synchronizer.on_peer_snapshot_request([&](store_position known) {
            requested_positions.push_back(known);
            return snapshot;
        });
        host.wait(150ms);
        REQUIRE_FALSE(requested_positions.empty());
        CHECK(requested_positions.front() == host.store.position());
        CHECK(host.version() == 9);
        CHECK(host.fleet.find_upstream("one") == nullptr);
        CHECK(host.fleet.find_upstream("two") != nullptr);
    });
}

// Guards against using a draining upstream again, here and at hosts that start from this host's snapshot, because the
// store executed an earlier announcement late.
TEST_CASE("a late announcement of a draining upstream changes neither the fleet nor the snapshot") {
    synchronizer_fixture host;
    std::string snapshot;
    host.run([&] {
        host.store.put("config", "3");
        host.store.put("up/one", "ready 4");
        host.synchronizer.start();
        host.wait();
        host.store.put("up/one", "drains 8");
        host.wait();
        host.store.put("up/one", "ready 5");
        host.wait();
        CHECK(host.fleet.find_upstream("one")->description().is_draining);
        CHECK(host.synchronizer.position() == host.store.position());
        snapshot = host.synchronizer.snapshot();
    });
    synchronizer_fixture other;
    other.run([&] {
        other.store.faults.down = true;
        other.synchronizer.on_peer_snapshot_request([&](store_position) { return snapshot; });
        other.synchronizer.start();
        other.wait(150ms);
        REQUIRE(other.fleet.find_upstream("one") != nullptr);
        CHECK(other.fleet.find_upstream("one")->description().is_draining);
    });
}

// Guards against keys that stay valid after they were taken away: the host dropped the configuration as older than one
// from before the store came back from a copy, because its revision was lower.
TEST_CASE("a configuration that is written after the store came back from a copy takes effect") {
    synchronizer_fixture host;
    host.run([&] {
        host.store.put("config", "3");
        host.synchronizer.start();
        host.wait();
        const auto copy = host.store.copy();
        for (int version = 4; version < 10; ++version)
            host.store.put("config", std::to_string(version));
        host.wait();
        REQUIRE(host.version() == 9);
        const store_position known = host.synchronizer.position();
        host.store.come_back_from(copy);

        SECTION("at a lower revision than the known one") {
            host.store.put("config", "12");
            REQUIRE(host.store.revision() < known.revision);
        }
        SECTION("at a revision that was given out before") {
            while (host.store.revision() < known.revision)
                host.store.put("config", "12");
        }
        SECTION("behind a revision that was given out before") {
            host.store.put("config", "12");
            while (host.store.revision() < known.revision + 3)
                host.store.put("up/one", "ready " + std::to_string(host.store.revision()));
        }
        CHECK(host.wait_until([&] { return host.version() == 12; }));
        CHECK(host.wait_until([&] { return host.synchronizer.position() == host.store.position(); }));
        host.store.put("config", "13");
        CHECK(host.wait_until([&] { return host.version() == 13; }));
    });
}

// Guards against drains, removals and evacuations that have no effect after the store came back from a copy.
TEST_CASE("drains, removals and evacuations take effect after the store came back from a copy") {
    synchronizer_fixture host;
    host.run([&] {
        host.store.put("config", "3");
        host.store.put("up/one", "ready 1");
        host.store.put("up/two", "ready 1");
        host.store.put("drain/gulf-b", "{}");
        host.synchronizer.start();
        host.wait();
        const auto copy = host.store.copy();
        for (int sequence = 2; sequence < 9; ++sequence) {
            host.store.put("up/one", "ready " + std::to_string(sequence));
            host.store.put("up/two", "ready " + std::to_string(sequence));
        }
        host.wait();
        host.store.come_back_from(copy);
        host.wait();
        host.store.put("up/one", "drains 9");
        host.store.remove("up/two");
        host.store.put("drain/gulf-a", "{}");
        host.store.remove("drain/gulf-b");
        host.wait();
        CHECK(host.fleet.find_upstream("one")->description().is_draining);
        CHECK((host.fleet.find_upstream("two") == nullptr || host.fleet.find_upstream("two")->is_lapsed()));
        CHECK(host.fleet.is_evacuated("gulf-a"));
        CHECK_FALSE(host.fleet.is_evacuated("gulf-b"));
    });
}

// Guards against requests to an evacuated failure domain, and against refusals for want of upstreams, in the time
// before operators and upstreams have written again what the store's copy does not have.
TEST_CASE("what the store's copy does not have stays in force until it can have been written again") {
    // A poll that is late on a busy machine must not count as an outage, which would begin the recovery period anew.
    synchronizer_fixture host(2000ms, 30s);
    host.run([&] {
        host.store.put("config", "3");
        host.store.put("up/one", "ready 1");
        host.synchronizer.start();
        host.wait();
        const auto copy = host.store.copy();
        host.store.put("config", "4");
        host.store.put("up/one", "drains 2");
        host.store.put("up/two", "ready 1");
        host.store.put("up/three", "ready 1");
        host.store.put("drain/gulf-a", "{}");
        host.store.put("drain/gulf-b", "{}");
        host.wait();
        host.store.come_back_from(copy);
        const time_point returned = boot_time_now();
        host.wait(1000ms);
        CHECK(host.version() == 4);
        CHECK(host.fleet.find_upstream("one")->description().is_draining);
        CHECK(host.fleet.find_upstream("two") != nullptr);
        CHECK(host.fleet.is_evacuated("gulf-a"));
        host.store.put("up/two", "ready 2");
        host.store.put("drain/gulf-a", "{}");
        CHECK(host.wait_until([&] { return host.fleet.find_upstream("three") == nullptr; }));
        CHECK(boot_time_now() - returned >= 2000ms);
        CHECK_FALSE(host.fleet.is_evacuated("gulf-b"));
        CHECK(host.fleet.find_upstream("two") != nullptr);
        CHECK(host.fleet.is_evacuated("gulf-a"));
    });
}

// Guards against a host that cannot reach the store and keeps the state from before it came back from a copy, because
// the peers that have read it since know a lower revision.
TEST_CASE("a peer's snapshot from after the store came back replaces entries of higher revisions") {
    synchronizer_fixture other;
    std::string early;
    std::string late;
    other.run([&] {
        other.store.put("config", "3");
        const auto copy = other.store.copy();
        for (int version = 4; version < 10; ++version)
            other.store.put("config", std::to_string(version));
        other.synchronizer.start();
        other.wait();
        early = other.synchronizer.snapshot();
        other.store.come_back_from(copy);
        other.store.put("config", "12");
        other.wait();
        late = other.synchronizer.snapshot();
    });
    synchronizer_fixture host;
    host.run([&] {
        host.store.faults.down = true;
        std::string snapshot = early;
        host.synchronizer.on_peer_snapshot_request([&](store_position) { return snapshot; });
        host.synchronizer.start();
        host.wait(150ms);
        REQUIRE(host.version() == 9);
        snapshot = late;
        host.wait(150ms);
        CHECK(host.version() == 12);
        // A snapshot of a host that has not learned of the return changes nothing.
        snapshot = early;
        host.wait(150ms);
        CHECK(host.version() == 12);
        CHECK(host.synchronizer.position().era == store_era{2});
    });
}

// Guards against a corrupt snapshot from a peer that replaces the known entries.
TEST_CASE("a corrupt snapshot changes nothing") {
    synchronizer_fixture host;
    host.run([&] {
        host.store.put("config", "3");
        host.store.put("up/one", "x");
        host.synchronizer.start();
        host.wait();
        host.store.faults.down = true;
        host.synchronizer.on_peer_snapshot_request([](store_position) { return "1:1,3:999,1:9,2:up"; });
        host.wait(150ms);
        CHECK(host.version() == 3);
        CHECK(host.fleet.upstreams().size() == 1);
    });
}

TEST_CASE("an unreadable entry removes its upstream") {
    synchronizer_fixture host;
    host.run([&] {
        host.store.put("up/one", "x");
        host.store.put("up/two", "broken");
        host.synchronizer.start();
        host.wait();
        CHECK(host.fleet.upstreams().size() == 1);
        host.store.put("up/one", "broken");
        host.wait();
        CHECK(host.fleet.upstreams().empty());
    });
}

namespace {

/// A reporter (`synchronizer`) and a host (`requester`) that gets its region updates when the test passes them on.
struct region_update_fixture : synchronizer_fixture {
    explicit region_update_fixture(fleet_synchronizer_options options = {.poll_period = 10ms,
                                                                         .max_region_update_age = 100ms,
                                                                         .check_period = 10ms,
                                                                         .retry_period = 10ms})
        : requester(runtime, store, adapter, requester_fleet, requester_membership, log, options) {
        synchronizer.on_reporter_check([] { return true; });
        store.before_call = [this](std::string_view call) {
            if (call == "watch_prefix")
                ++watches;
        };
    }

    region_update make_region_update(store_position known) const {
        region_update update;
        update.reporter = "reporter";
        update.store_position = synchronizer.position();
        update.follows_store = synchronizer.follows_store(boot_time_now());
        update.changes = synchronizer.changes_since(known);
        return update;
    }

    void pass_region_update() {
        requester.apply_region_update(make_region_update(requester.position()), boot_time_now());
    }

    void pass_region_updates(duration time) {
        const time_point end = boot_time_now() + time;
        while (boot_time_now() < end) {
            pass_region_update();
            wait(20ms);
        }
    }

    fleet_state requester_fleet = make_fleet();
    fleet_membership requester_membership = make_membership("asker");
    fleet_synchronizer requester;
    int watches = 0;
};

} // namespace

// Guards against polls of the store by every host: with 195 hosts they were the largest cost of a day.
TEST_CASE("a host learns of store changes through its reporter without polling the store") {
    region_update_fixture host;
    host.run([&] {
        host.store.put("config", "3");
        host.store.put("up/one", "x");
        host.synchronizer.start();
        host.requester.start();
        host.wait();
        host.pass_region_update();
        host.wait(20ms);
        // The count also includes the polls of the reporter; the limit below allows for them.
        const int before = host.watches;
        host.store.put("up/two", "x");
        host.store.remove("up/one");
        host.store.put("config", "4");
        host.pass_region_updates(200ms);
        CHECK(host.requester_fleet.table()->configuration().version == 4);
        CHECK(host.requester_fleet.find_upstream("two") != nullptr);
        CHECK(host.requester_fleet.find_upstream("one") == nullptr);
        CHECK(host.requester.position() == host.synchronizer.position());
        // The reporter polls every 200 ms or at a change; a host on its own would have polled 20 times.
        CHECK(host.watches - before <= 6);
    });
}

// Guards against missed changes when the reporter has died or lost contact to the store.
TEST_CASE("a host polls the store itself when its reporter sends no updates or has no contact to the store") {
    region_update_fixture host;
    host.run([&] {
        host.store.put("config", "3");
        host.synchronizer.start();
        host.requester.start();
        host.wait();
        host.pass_region_updates(60ms);

        SECTION("silent") {
            host.store.put("config", "5");
            host.wait(150ms);
            CHECK(host.requester_fleet.table()->configuration().version == 5);
        }
        SECTION("no contact to the store") {
            region_update update = host.make_region_update(host.requester.position());
            host.store.put("config", "5");
            update.follows_store = false;
            host.requester.apply_region_update(update, boot_time_now());
            host.wait(40ms);
            CHECK(host.requester_fleet.table()->configuration().version == 5);
        }
        SECTION("without the changes") {
            region_update update = host.make_region_update(host.requester.position());
            host.store.put("config", "5");
            update.store_position.revision += 1;
            update.changes.reset();
            host.requester.apply_region_update(update, boot_time_now());
            CHECK(host.requester.position() < update.store_position);
            host.wait(40ms);
            CHECK(host.requester_fleet.table()->configuration().version == 5);
        }
    });
}

// Guards against a removed upstream that reappears because an older change arrives after its removal.
TEST_CASE("an outdated region update restores nothing") {
    region_update_fixture host;
    host.run([&] {
        host.store.put("config", "3");
        host.synchronizer.start();
        host.requester.start();
        host.wait();
        const store_position known = host.requester.position();
        host.store.put("up/one", "x");
        host.wait(250ms);
        const region_update old = host.make_region_update(known);
        REQUIRE(old.changes);
        REQUIRE(old.changes->size() == 1);
        host.store.remove("up/one");
        host.wait(250ms);
        REQUIRE(host.requester_fleet.upstreams().empty());
        const store_position position = host.requester.position();
        host.requester.apply_region_update(old, boot_time_now());
        CHECK(host.requester_fleet.upstreams().empty());
        CHECK(host.requester.position() == position);
    });
}

// Guards against a reporter's link that is saturated with copies of one large change.
TEST_CASE("large changes are not relayed but read from the store") {
    region_update_fixture host;
    host.run([&] {
        host.store.put("config", "3");
        host.synchronizer.start();
        host.wait();
        const store_position known = host.synchronizer.position();
        host.store.put("up/one", std::string(70'000, 'x'));
        host.wait(250ms);
        CHECK_FALSE(host.synchronizer.changes_since(known));
        const store_position later = host.synchronizer.position();
        host.store.put("up/two", "x");
        host.wait(250ms);
        CHECK(host.synchronizer.changes_since(later)->size() == 1);
        // The retained changes are limited too, so old ones are dropped.
        for (int index = 0; index < 60; ++index)
            host.store.put("up/three", std::string(20'000, static_cast<char>('a' + index % 26)));
        host.wait(250ms);
        CHECK_FALSE(host.synchronizer.changes_since(later));
    });
}

// Guards against hosts that rely on a reporter whose poll the store does not answer.
TEST_CASE("a reporter does not claim contact to a store that does not respond") {
    region_update_fixture host;
    host.run([&] {
        host.store.put("config", "3");
        CHECK_FALSE(host.synchronizer.follows_store(boot_time_now()));
        host.synchronizer.start();
        host.wait();
        CHECK(host.synchronizer.follows_store(boot_time_now()));
        host.store.before_call = [&](std::string_view) {
            host.runtime.sleep_for(1300ms);
        };
        host.wait(1250ms);
        CHECK_FALSE(host.synchronizer.follows_store(boot_time_now()));
        host.wait(600ms);
        host.store.before_call = nullptr;
        host.store.faults.down = true;
        host.wait(1500ms);
        CHECK_FALSE(host.synchronizer.follows_store(boot_time_now()));
    });
}

// Guards against hosts that follow a reporter into the state from before the store came back from a copy, or miss what
// was written since because the reporter's changes start at a revision that they know.
TEST_CASE("a host polls the store itself when its reporter is in another era") {
    region_update_fixture host;
    host.run([&] {
        host.store.put("config", "3");
        host.synchronizer.start();
        host.requester.start();
        host.wait();
        const auto copy = host.store.copy();
        for (int version = 4; version < 10; ++version)
            host.store.put("config", std::to_string(version));
        host.wait(250ms);
        host.pass_region_update();
        REQUIRE(host.requester_fleet.table()->configuration().version == 9);
        const region_update early = host.make_region_update(host.requester.position());
        host.store.come_back_from(copy);
        host.store.put("config", "12");

        SECTION("the reporter has read the new era") {
            host.wait(250ms);
            host.pass_region_update();
            host.wait(60ms);
            CHECK(host.requester_fleet.table()->configuration().version == 12);
        }
        SECTION("the reporter is still in the earlier era") {
            const time_point end = boot_time_now() + 300ms;
            while (boot_time_now() < end) {
                host.requester.apply_region_update(early, boot_time_now());
                host.wait(20ms);
            }
            // Until then the update counts as contact to the store.
            host.wait(150ms);
            REQUIRE(host.requester.position().era == store_era{2});
            host.store.put("config", "13");
            host.requester.apply_region_update(early, boot_time_now());
            host.wait(60ms);
            CHECK(host.requester_fleet.table()->configuration().version == 13);
        }
    });
}

namespace {

/// What operators and upstreams want the store to hold. They write it again after each return of the store.
class store_writers {
public:
    explicit store_writers(fake_store& store) : m_store(store) {}

    void change(int choice) {
        const std::string name = std::to_string(choice % 3);
        switch (choice % 5) {
        case 0:
            ++m_version;
            return m_store.put("config", std::to_string(m_version));
        case 1:
            return announce("up/" + name, "ready ");
        case 2:
            return announce("up/" + name, "drains ");
        case 3:
            m_upstreams.erase("up/" + name);
            return m_store.remove("up/" + name);
        default:
            return evacuate("drain/" + name, !m_evacuated.contains("drain/" + name));
        }
    }

    void write_again() {
        m_store.put("config", std::to_string(m_version));
        for (const std::string name : {"0", "1", "2"}) {
            evacuate("drain/" + name, m_evacuated.contains("drain/" + name));
            const auto upstream = m_upstreams.find("up/" + name);
            if (upstream == m_upstreams.end())
                m_store.remove("up/" + name);
            else
                announce(upstream->first, upstream->second);
        }
    }

    std::int64_t version() const noexcept { return m_version; }
    bool is_evacuated(const std::string& name) const { return m_evacuated.contains("drain/" + name); }
    bool is_used(const std::string& name) const {
        const auto upstream = m_upstreams.find("up/" + name);
        return upstream != m_upstreams.end() && upstream->second == "ready ";
    }

private:
    void announce(const std::string& key, const std::string& state) {
        m_upstreams[key] = state;
        m_store.put(key, state + std::to_string(++m_sequence));
    }

    void evacuate(const std::string& key, bool is_evacuated) {
        if (is_evacuated) {
            m_evacuated.insert(key);
            return m_store.put(key, "{}");
        }
        m_evacuated.erase(key);
        m_store.remove(key);
    }

    fake_store& m_store;
    std::int64_t m_version = 1;
    std::int64_t m_sequence = 1;
    std::map<std::string, std::string> m_upstreams;
    std::set<std::string> m_evacuated;
};

} // namespace

// Guards against any order of changes, outages and returns of the store from a copy after which a host keeps a state
// that the store does not have.
TEST_CASE("a host's state ends as that of the store, whatever returns from copies lie behind it") {
    check_property(20261207, 60, [] {
        const auto steps = *rc::gen::container<std::vector<int>>(40, rc::gen::inRange(0, 1000));
        synchronizer_fixture host(30ms);
        host.run([&] {
            store_writers writers(host.store);
            writers.write_again();
            host.synchronizer.start();
            auto copy = host.store.copy();
            std::int64_t seen_version = 0;
            for (const int step : steps) {
                if (step < 800)
                    writers.change(step);
                else if (step < 850)
                    copy = host.store.copy();
                else if (step < 900)
                    host.store.faults.down = !host.store.faults.down;
                else if (step < 940)
                    host.store.come_back_from(copy);
                else
                    host.wait(5ms);
                // A key that was taken away is not accepted again.
                RC_ASSERT(host.version() >= seen_version);
                seen_version = host.version();
            }
            host.store.faults.down = false;
            host.store.come_back_from(copy);
            host.wait(5ms);
            writers.write_again();
            const auto is_used = [&](const std::string& name) {
                const auto upstream = host.fleet.find_upstream(name);
                return upstream != nullptr && !upstream->is_lapsed() && !upstream->description().is_draining;
            };
            RC_ASSERT(host.wait_until([&] {
                return host.version() == writers.version() && host.synchronizer.position() == host.store.position();
            }));
            for (const std::string name : {"0", "1", "2"}) {
                RC_ASSERT(host.wait_until([&] { return host.fleet.is_evacuated(name) == writers.is_evacuated(name); }));
                RC_ASSERT(host.wait_until([&] { return is_used(name) == writers.is_used(name); }));
            }
        });
    });
}
