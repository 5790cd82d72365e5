#include "steering/steering_table.h"

#include "steering/steering_fixture.h"

#include <catch2/catch.hpp>

using namespace ragworthinge;

// Guards against a shorter prefix that takes the requests of a longer one.
TEST_CASE("the longest path prefix selects the route") {
    steering_configuration configuration;
    for (const std::string prefix : {"/", "/a/", "/a/b/"}) {
        steering_route route = make_route("lots");
        route.name = prefix;
        route.path_prefix = prefix;
        configuration.routes.push_back(route);
    }
    const steering_table table(configuration);
    CHECK(table.find_route("lots.example", "/a/b/c")->name == "/a/b/");
    CHECK(table.find_route("lots.example", "/a/bc")->name == "/a/");
    CHECK(table.find_route("lots.example", "/x")->name == "/");
    CHECK(table.find_route("other.example", "/x") == nullptr);
}

TEST_CASE("accounts are found by each of their keys and by no other") {
    steering_configuration configuration;
    steering_account account;
    account.name = "florist";
    account.keys = {"first-key", "second-key"};
    configuration.accounts = {account};
    const steering_table table(configuration);
    CHECK(table.find_account_by_key("first-key")->name == "florist");
    CHECK(table.find_account_by_key("second-key")->name == "florist");
    CHECK(table.find_account_by_key("first-ke") == nullptr);
    CHECK(table.find_account_by_key("") == nullptr);
}
