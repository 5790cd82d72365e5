#include "requests/access_control.h"
#include "requests/request_target.h"
#include "requests/route_table.h"

#include <catch2/catch.hpp>

using namespace ragworthinge;

namespace {

result<route_table> sample_routes() {
    return route_table::create({{"/", "site", true, {}, {}},
                                {"/sheds", "permits", false, {}, {}},
                                {"/sheds/north", "permits", false, {"north"}, {}},
                                {"/vans/", "rental", false, {"gulf", "bay"}, {"GET", "POST"}}});
}

std::string prefix_of(const route_table& routes, std::string_view path) {
    const route* found = routes.find(path);
    return found == nullptr ? "none" : found->path_prefix;
}

} // namespace

// Guards against selecting a shorter prefix and against a prefix that matches a longer segment name.
TEST_CASE("the longest prefix that ends at a segment boundary is selected") {
    const auto routes = sample_routes();
    REQUIRE(routes.has_value());
    const route_table& table = routes.value();
    CHECK(prefix_of(table, "/sheds") == "/sheds");
    CHECK(prefix_of(table, "/sheds/") == "/sheds");
    CHECK(prefix_of(table, "/shedsX") == "/");
    CHECK(prefix_of(table, "/sheds/north") == "/sheds/north");
    CHECK(prefix_of(table, "/sheds/north/7") == "/sheds/north");
    CHECK(prefix_of(table, "/sheds/northern") == "/sheds");
    CHECK(prefix_of(table, "/vans") == "/");
    CHECK(prefix_of(table, "/vans/3") == "/vans/");
    CHECK(prefix_of(table, "/" + std::string(8000, 'a')) == "/");
    CHECK_FALSE(route_table::create({{"/a/../b", "s", false, {}, {}}}).has_value());
    CHECK_FALSE(route_table::create({{"/a", "s", false, {}, {}}, {"/a", "t", false, {}, {}}}).has_value());
    CHECK(route_table::create({{"/a", "s", false, {}, {}}}).value().find("/b") == nullptr);
}

// Guards against a path that this system and an upstream interpret differently, which could reach another client
// account's route.
TEST_CASE("ambiguous paths are refused") {
    for (const char* path : {"//sheds",    "/a//b",          "/a/./b",   "/a/../b",  "/a/..",  "/a/.",   "/..",
                             "/%2e%2e/b",  "/a/%2E/b",       "/a%2fb",   "/a%2Fb",   "/a%5cb", "/a\\b",  "/a%252fb",
                             "/a%25252fb", "/a%252e%252e/b", "/a;x=1/b", "/a%3bx/b", "/..;/b", "/a%00b", "/a%0ab",
                             "/a%c0%afb",  "/a%C0%AE",       "/a%f8b",   "/a%",      "/a%2",   "/a%zz"}) {
        CAPTURE(path);
        const auto parsed = request_target::parse(path);
        REQUIRE_FALSE(parsed.has_value());
        CHECK(parsed.error().status() == 400);
    }
    for (const char* target : {"", "*", "sheds", "http://h/sheds", "/a b", "/a#b", "/a\tb", "/\xc3\xa4"}) {
        CAPTURE(target);
        const auto parsed = request_target::parse(target);
        REQUIRE_FALSE(parsed.has_value());
        CHECK(parsed.error().kind == refusal_kind::malformed_request);
    }
}

// Guards against routing by the encoded path, in which a percent-encoded letter would bypass a longer prefix.
TEST_CASE("routes are matched on the decoded path and the raw form is kept") {
    const auto routes = sample_routes();
    const auto parsed = request_target::parse("/sh%65ds/n%6Frth/caf%C3%A9?x=%2F..//#" + std::string());
    CHECK_FALSE(parsed.has_value());
    const auto target = request_target::parse("/sh%65ds/n%6Frth/caf%C3%A9?x=%2F..//");
    REQUIRE(target.has_value());
    CHECK(prefix_of(routes.value(), target.value().path()) == "/sheds/north");
    CHECK(target.value().raw_path() == "/sh%65ds/n%6Frth/caf%C3%A9");
    CHECK(target.value().query() == "x=%2F..//");
}

// Guards against a request that runs without a valid key of an allowed account on a route that is not open.
TEST_CASE("access needs a current key of an allowed account unless the route is open") {
    const std::string secret = "fleet secret of the test";
    const auto routes = sample_routes();
    const auto keys =
        key_table::create({{"kn", "north", to_hex(hmac_sha256(secret, "north-key"))}}, secret_text(secret));
    const auto outcome = [&](freshness state, const char* path, std::optional<std::string> key) -> std::string {
        std::optional<secret_text> carried;
        if (key)
            carried = secret_text(*key);
        const auto access = decide_access(routes.value(), keys.value(), state, path, carried);
        if (!access)
            return std::string(to_string(access.error().kind));
        return access.value().owner == nullptr ? "anonymous" : access.value().owner->account;
    };
    using enum freshness;
    CHECK(outcome(proven, "/sheds/north", "north-key") == "north");
    CHECK(outcome(store_outage, "/sheds/north", "north-key") == "north");
    CHECK(outcome(stale, "/sheds/north", "north-key") == "keys_stale");
    CHECK(outcome(proven, "/sheds/north", "wrong-key") == "key_wrong");
    CHECK(outcome(proven, "/sheds/north", std::nullopt) == "key_missing");
    CHECK(outcome(proven, "/vans/1", "north-key") == "route_forbidden");
    CHECK(outcome(proven, "/open", std::nullopt) == "anonymous");
    CHECK(outcome(proven, "/open", "wrong-key") == "anonymous");
    CHECK(outcome(stale, "/open", "north-key") == "anonymous");
    CHECK(outcome(proven, "/open", "north-key") == "north");
}
