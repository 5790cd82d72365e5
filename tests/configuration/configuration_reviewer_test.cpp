#include "configuration/configuration_reviewer.h"

#include "configuration/sample_configuration.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace ragworthinge;

namespace {

/// The sample without entries that are reviewed on purpose.
fleet_configuration clean_configuration() {
    fleet_configuration clean = test::sample_configuration();
    clean.keys.push_back({"beta-1", "beta", std::string(64, 'b')});
    clean.drains.clear();
    return clean;
}

bool names(const std::vector<located_problem>& problems, const std::string& path, const std::string& part) {
    return std::any_of(problems.begin(), problems.end(), [&](const located_problem& problem) {
        return problem.path == path && problem.message.find(part) != std::string::npos;
    });
}

} // namespace

// Guards against warnings on entries that do take effect, which operators would learn to ignore.
TEST_CASE("a configuration whose entries all take effect has no warnings") {
    CHECK(review_configuration(clean_configuration()).empty());
}

TEST_CASE("entries that can never match are named") {
    auto configuration = clean_configuration();
    SECTION("a service without a route") {
        configuration.services.push_back(configuration.services[0]);
        configuration.services[1].name = "unused";
        CHECK(names(review_configuration(configuration), "services[1].name", "no route leads"));
    }
    SECTION("a route for an account without a key") {
        configuration.keys.erase(configuration.keys.begin());
        const auto problems = review_configuration(configuration);
        CHECK(names(problems, "routes[0].accounts[0]", "no key"));
        CHECK(names(problems, "client_accounts[0].name", "no key"));
    }
    SECTION("a route that needs a key where there is none") {
        configuration.keys.clear();
        CHECK(names(review_configuration(configuration), "routes[0].path_prefix", "needs a key"));
    }
    SECTION("a route that the shorter route handles alike") {
        configuration.routes.push_back({"/open/deep/", "permits", true, {}, {}});
        CHECK(names(review_configuration(configuration), "routes[2].path_prefix", "'/open/'"));
        configuration.routes[2].idempotent_methods = {"GET"};
        CHECK(review_configuration(configuration).empty());
    }
    SECTION("a client block inside one of the same site") {
        configuration.client_blocks.push_back({"10.128.0.0/9", "north"});
        CHECK(names(review_configuration(configuration), "client_blocks[2].prefix", "'10.0.0.0/8'"));
        // The block between them names another site, so the inner one has an effect again.
        configuration.client_blocks.push_back({"10.128.0.0/10", "south"});
        configuration.client_blocks.push_back({"10.128.0.0/11", "north"});
        CHECK_FALSE(names(review_configuration(configuration), "client_blocks[4].prefix", "same site"));
    }
    SECTION("a shift of a service that is not in the region") {
        configuration.services[0].upstreams.erase(configuration.services[0].upstreams.begin());
        CHECK(names(review_configuration(configuration), "shifts[0].services[0]", "nothing to move"));
    }
}

TEST_CASE("limits that contradict each other are named") {
    auto configuration = clean_configuration();
    SECTION("a ramp that ends before callers ask again") {
        configuration.shifts[0].ramp = std::chrono::seconds(4);
        CHECK(names(review_configuration(configuration), "shifts[0].ramp_seconds", "ttl_seconds"));
    }
    SECTION("upstreams that all leave") {
        configuration.services[0].upstreams[0].state = upstream_state::leaving;
        CHECK(names(review_configuration(configuration), "services[0].upstreams", "all upstreams are leaving"));
    }
    SECTION("drains that take the last upstream") {
        configuration.drains.push_back({"d2", "region:north", "", drain_state::planned});
        CHECK(names(review_configuration(configuration), "services[0].upstreams", "drains leave no upstream"));
        configuration.drains[0].state = drain_state::cancelled;
        CHECK(review_configuration(configuration).empty());
    }
    SECTION("a shift into a region that is drained") {
        configuration.drains.push_back({"d2", "region:south", "", drain_state::running});
        CHECK(names(review_configuration(configuration), "shifts[0].to", "'d2'"));
    }
    SECTION("shifts in opposite directions") {
        auto back = configuration.shifts[0];
        back.id = "s2";
        std::swap(back.from, back.to);
        configuration.shifts.push_back(back);
        const auto problems = review_configuration(configuration);
        CHECK(names(problems, "shifts[0].services[0]", "'s2'"));
        CHECK(names(problems, "shifts[1].services[0]", "'s1'"));
    }
}
