#include "entry_decoder.h"

#include <catch2/catch.hpp>

using namespace ragworthinge;

namespace {

const std::string configuration_text =
    R"({"version":"r7","routes":{"columns":["name","host","prefix","kind","timeoutMs",
"targetLatencyMs","priority","trafficSplit","maxAttempts","public","sticky","allowedRegions","service","later"],"rows":[
["a","x.example","/a/","safe",2000,250,2,[{"service":"s","weight":90},{"service":"t","weight":10}],2,false,true,["gulf"],null,1],
["b","x.example","/b/","unsafe",800,300,1,null,1,true,null,null,"t",null]]},
"services":{"columns":["name","healthPath","maxConnections","coldStartS","coldPerS"],"rows":[["s","/health",330,3.0,4.9]]},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":{"columns":["name","apiKeys","priority","ratePerS","burst","allowedRegions"],
"rows":[["florist",["k1","k2"],1,87,80.5,[]],["caterer",[],null,null,null,null]]},"baseVersion":"r5"})";

const std::string upstream_text =
    R"({"service":"s","address":"10.128.0.9:8080","zone":"gulf-a","version":"v1","slots":3,
"state":"ready","coldRemainingMs":1500,"sequence":4,"born":1700000000000})";

std::string replaced(std::string text, const std::string& from, const std::string& to) {
    const auto position = text.find(from);
    REQUIRE(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

} // namespace

TEST_CASE("a configuration is decoded") {
    const auto read = decode_configuration(configuration_text);
    REQUIRE(read);
    const steering_configuration& configuration = read.value();
    CHECK(configuration.version == 7);
    REQUIRE(configuration.routes.size() == 2);
    const steering_route& first = configuration.routes[0];
    CHECK(first.is_idempotent);
    CHECK(first.needs_key);
    CHECK(first.prefers_known_object);
    CHECK(first.parts.size() == 2);
    CHECK(first.parts[1].weight == 10);
    CHECK(first.allowed_regions == std::vector<region_id>{"gulf"});
    CHECK(first.timeout == std::chrono::milliseconds(2000));
    const steering_route& second = configuration.routes[1];
    CHECK_FALSE(second.is_idempotent);
    CHECK_FALSE(second.needs_key);
    CHECK(second.parts[0].service == "t");
    CHECK(second.max_attempts == 1);
    CHECK(configuration.accounts[0].keys.size() == 2);
    CHECK(configuration.accounts[0].priority == 1);
    CHECK(configuration.accounts[0].burst == 80.5);
    CHECK_FALSE(configuration.accounts[1].priority);
    CHECK(configuration.accounts[1].requests_per_second == 0);
    CHECK(configuration.services[0].cold_requests_per_second == 4.9);
    CHECK(configuration.limits.body_bytes == 1000);
}

// Guards against downloads that are treated as not idempotent: they are then neither cancelled when their callers
// disconnect nor retried when their responses are lost.
TEST_CASE("the kind of a route determines whether its requests are idempotent") {
    const auto repeats = [](const std::string& kind) {
        const auto read = decode_configuration(replaced(configuration_text, "\"safe\"", "\"" + kind + "\""));
        REQUIRE(read);
        return read.value().routes[0].is_idempotent;
    };
    CHECK(repeats("safe"));
    CHECK(repeats("download"));
    CHECK_FALSE(repeats("unsafe"));
    CHECK_FALSE(repeats("keyed"));
    CHECK_FALSE(repeats("a kind of later days"));
}

// Guards against a partial configuration that takes effect.
TEST_CASE("a configuration with an invalid field is rejected as a whole") {
    for (const auto& [from, to] :
         std::vector<std::pair<std::string, std::string>>{{"\"r7\"", "7"},
                                                          {"\"r7\"", "\"r7x\""},
                                                          {"2000", "\"2000\""},
                                                          {"[\"k1\",\"k2\"]", "[1]"},
                                                          {"\"/a/\"", "null"},
                                                          {"\"rows\":[[\"s\"", "\"rows\":[3,[\"s\""},
                                                          {"15000", "-1"},
                                                          {"2000", "1e300"},
                                                          {"2000", "-5"},
                                                          {"\"weight\":90", "\"weight\":\"90\""}})
        CHECK_FALSE(decode_configuration(replaced(configuration_text, from, to)));
    for (std::size_t length = 0; length + 1 < configuration_text.size(); length += 7)
        CHECK_FALSE(decode_configuration(configuration_text.substr(0, length)));
}

TEST_CASE("an upstream's entry is decoded") {
    const auto read = decode_upstream("i-1", upstream_text);
    REQUIRE(read);
    CHECK(read.value().id == "i-1");
    CHECK(read.value().slots == 3);
    CHECK_FALSE(read.value().is_draining);
    CHECK(read.value().started_at == 1700000000000);
    CHECK(read.value().sequence == 4);
    CHECK(read.value().cold_remaining == std::chrono::milliseconds(1500));
    CHECK(decode_upstream("i-1", replaced(upstream_text, "\"ready\"", "\"draining\"")).value().is_draining);
}

// Guards against entries of other writers that are taken for upstream registrations.
TEST_CASE("an upstream's entry with an invalid field is rejected") {
    for (const auto& [from, to] :
         std::vector<std::pair<std::string, std::string>>{{"\"s\"", "3"},
                                                          {"\"10.128.0.9:8080\"", "\"nowhere\""},
                                                          {":3,", ":\"3\","},
                                                          {":3,", ":0,"},
                                                          {":3,", ":2.5,"},
                                                          {"\"ready\"", "\"resting\""},
                                                          {":1500", ":-1"},
                                                          {":1500", ":3e40"},
                                                          {":3,", ":3000000000,"},
                                                          {"1700000000000", "1700000000000.5"},
                                                          {"1700000000000", "\"x\""},
                                                          {"\"sequence\":4", "\"sequence\":null"},
                                                          {"\"zone\":\"gulf-a\",", ""}})
        CHECK_FALSE(decode_upstream("i-1", replaced(upstream_text, from, to)));
    CHECK_FALSE(decode_upstream("i-1", "\xff\xfe"));
    CHECK_FALSE(decode_upstream("i-1", "[]"));
}
