#include "requests/key_freshness.h"

#include <catch2/catch.hpp>

using namespace ragworthinge;
using namespace std::chrono_literals;

namespace {

const time_point start{1000s};

} // namespace

// Guards against accepting revoked keys after the host lost contact with the store and with all its peers.
TEST_CASE("a proof is valid for four seconds after its poll was sent") {
    key_freshness keys;
    keys.set_revision_in_force(7);
    REQUIRE_FALSE(keys.may_serve_keyed(start));
    keys.observe_store_answer(start, 7);
    REQUIRE(keys.evaluate(start + 4s) == freshness::proven);
    REQUIRE(keys.evaluate(start + 4001ms) == freshness::stale);
    keys.observe_peer({"peer", start + 4s, 1s, 7});
    REQUIRE(keys.evaluate(start + 7s) == freshness::proven);
    REQUIRE(keys.evaluate(start + 7001ms) == freshness::stale);
}

// Guards against treating store contact as freshness while a known revocation is not yet in force.
TEST_CASE("a proof of a newer revision counts only once that revision is in force") {
    key_freshness keys;
    keys.set_revision_in_force(7);
    keys.observe_store_answer(start, 8);
    REQUIRE_FALSE(keys.may_serve_keyed(start + 1s));
    keys.set_revision_in_force(8);
    REQUIRE(keys.may_serve_keyed(start + 1s));
}

// Guards against rejecting all keyed requests during a store outage, and against mistaking a partition for one.
TEST_CASE("a store outage requires recent reports of all members of the store's region, none with store contact") {
    key_freshness keys;
    keys.set_revision_in_force(7);
    keys.observe_store_answer(start, 7);
    keys.set_store_region_members({"north1", "north2"});
    const time_point later = start + 60s;
    keys.observe_peer({"north1", later, 61s, 7});
    REQUIRE(keys.evaluate(later) == freshness::stale);
    keys.observe_peer({"north2", later, std::nullopt, 7});
    REQUIRE(keys.evaluate(later) == freshness::store_outage);
    REQUIRE(keys.evaluate(later + 4001ms) == freshness::stale);

    SECTION("a member that reaches the store provides its proof instead") {
        keys.observe_peer({"north2", later + 1s, 500ms, 8});
        REQUIRE(keys.evaluate(later + 1s) == freshness::stale);
        keys.set_revision_in_force(8);
        REQUIRE(keys.evaluate(later + 1s) == freshness::proven);
    }
    SECTION("the proof of a member expires four seconds after that member's contact with the store") {
        keys.observe_peer({"north2", later + 1s, 3s, 7});
        REQUIRE(keys.evaluate(later + 2s) == freshness::proven);
        REQUIRE(keys.evaluate(later + 3s) == freshness::stale);
    }
    SECTION("a member with a newer revision may know of a revocation") {
        keys.observe_peer({"north2", later + 1s, std::nullopt, 8});
        REQUIRE(keys.evaluate(later + 1s) == freshness::stale);
    }
    SECTION("a host that knows no members of the store's region counts as partitioned") {
        keys.set_store_region_members({});
        REQUIRE(keys.evaluate(later) == freshness::stale);
    }
}

// Guards against rejecting keyed requests for one heartbeat when the proofs of all hosts expire during an outage.
TEST_CASE("proofs that expired since recent reports of all members indicate a store outage") {
    key_freshness keys;
    keys.set_revision_in_force(7);
    keys.set_store_region_members({"north1"});
    keys.observe_peer({"north1", start + 3900ms, 3900ms, 7});
    REQUIRE(keys.evaluate(start + 4s) == freshness::proven);
    REQUIRE(keys.evaluate(start + 4001ms) == freshness::store_outage);
    REQUIRE(keys.evaluate(start + 4701ms) == freshness::stale);
}
