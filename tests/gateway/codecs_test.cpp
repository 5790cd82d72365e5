#include "gateway/fleet_message_codec.h"
#include "gateway/gateway_settings.h"
#include "gateway/host_record.h"
#include "gateway/traffic_splitter.h"
#include "steering/steering_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <map>
#include <regex>
#include <sstream>

using namespace ragworthinge;

TEST_CASE("a host report survives serialization") {
    host_report report;
    report.host = "host:1,";
    report.incarnation = 0x7fffffffffffffffULL;
    report.is_leaving = true;
    report.store_position = {.era = store_era{3}, .revision = 412};
    report.demands = {{"florist", 12.34}};
    report.loads = {{"i-1", 3}};
    report.new_objects = {{"i-1", 0xfedcba9876543210ULL}};
    report.crashes = {{0xffffffffffffffffULL, 2}};
    const auto read = read_host_report(write_host_report(report));
    REQUIRE(read);
    CHECK(read.value().host == report.host);
    CHECK(read.value().incarnation == report.incarnation);
    CHECK(read.value().is_leaving);
    CHECK(read.value().store_position == store_position{.era = store_era{3}, .revision = 412});
    CHECK(read.value().demands.at(0).requests_per_second == Approx(12.34));
    CHECK(read.value().loads.at(0).in_flight == 3);
    CHECK(read.value().new_objects.at(0).object == 0xfedcba9876543210ULL);
    CHECK(read.value().crashes.at(0).fingerprint == 0xffffffffffffffffULL);
}

// Guards against a crash or a partial report when a faulty peer sends corrupt bytes.
TEST_CASE("corrupt reports are rejected") {
    host_report report;
    report.host = "host";
    report.demands = {{"florist", 1}};
    const std::string text = write_host_report(report);
    for (std::size_t length = 0; length < text.size(); ++length)
        CHECK_FALSE(read_host_report(text.substr(0, length)));
    CHECK_FALSE(read_host_report("1:1,1:h,1:1,1:0,1:0,9:999999999,"));
    CHECK_FALSE(read_host_report(text + "x"));
}

TEST_CASE("a region report survives serialization") {
    region_report regional_report;
    regional_report.region = "gulf";
    regional_report.hosts = {
        {"front-1", 77, true, {.era = store_era{3}, .revision = 412}, std::chrono::milliseconds(350)}};
    regional_report.demands = {{"florist", 12.34}};
    regional_report.loads = {{"i-1", 3}};
    regional_report.new_objects = {{"i-1", 0xfedcba9876543210ULL}};
    regional_report.crashes = {{0xffffffffffffffffULL, 2}};
    const std::string text = write_region_report(regional_report);
    const auto read = read_region_report(text);
    REQUIRE(read);
    CHECK(read.value().region == "gulf");
    REQUIRE(read.value().hosts.size() == 1);
    CHECK(read.value().hosts[0].name == "front-1");
    CHECK(read.value().hosts[0].incarnation == 77);
    CHECK(read.value().hosts[0].is_leaving);
    CHECK(read.value().hosts[0].store_position == store_position{.era = store_era{3}, .revision = 412});
    CHECK(read.value().hosts[0].age == std::chrono::milliseconds(350));
    CHECK(read.value().demands.at(0).requests_per_second == Approx(12.34));
    CHECK(read.value().loads.at(0).in_flight == 3);
    CHECK(read.value().new_objects.at(0).object == 0xfedcba9876543210ULL);
    CHECK(read.value().crashes.at(0).upstream_crashes == 2);

    SECTION("and is rejected when it is corrupt") {
        for (std::size_t length = 0; length < text.size(); ++length)
            CHECK_FALSE(read_region_report(text.substr(0, length)));
        regional_report.hosts[0].age = std::chrono::milliseconds(-1);
        CHECK_FALSE(read_region_report(write_region_report(regional_report)));
    }
}

TEST_CASE("a region update and its request survive serialization") {
    region_update_request update_request;
    update_request.report.host = "front-1";
    update_request.object_incarnation = 0x7fffffffffffffffULL;
    update_request.next_object = 12;
    const std::string encoded_request = write_region_update_request(update_request);
    const auto read_request = read_region_update_request(encoded_request);
    REQUIRE(read_request);
    CHECK(read_request.value().report.host == "front-1");
    CHECK(read_request.value().object_incarnation == update_request.object_incarnation);
    CHECK(read_request.value().next_object == 12);
    for (std::size_t length = 0; length < encoded_request.size(); ++length)
        CHECK_FALSE(read_region_update_request(encoded_request.substr(0, length)));

    region_update update;
    update.reporter = "front-2";
    update.reporter_incarnation = 9;
    update.store_position = {.era = store_era{3}, .revision = 400};
    update.follows_store = true;
    update.counts_requester = true;
    update.changes = {{"up/one", "any: bytes, 3:", {.era = store_era{3}, .revision = 399}},
                      {"up/two", std::nullopt, {.era = store_era{3}, .revision = 400}}};
    update.timed_out = {"front-3"};
    update.leaving = {"front-4", "front-5"};
    update.demands = {{"florist", {12.34, 0.25}}};
    update.loads = {{0xfffefdfcU, 3}, {1, 70'000}};
    update.next_object = 44;
    update.new_objects = {{0x80000001U, 0xfedcba9876543210ULL}};
    update.crashes = {{0xffffffffffffffffULL, 2}};
    const std::string text = write_region_update(update);
    const auto read = read_region_update(text);
    REQUIRE(read);
    CHECK(read.value().reporter == "front-2");
    CHECK(read.value().reporter_incarnation == 9);
    CHECK(read.value().store_position == update.store_position);
    CHECK(read.value().follows_store);
    CHECK(read.value().counts_requester);
    REQUIRE(read.value().changes);
    CHECK(read.value().changes->at(0).value == "any: bytes, 3:");
    CHECK_FALSE(read.value().changes->at(1).value);
    CHECK(read.value().changes->at(1).position == update.store_position);
    CHECK(read.value().timed_out == update.timed_out);
    CHECK(read.value().leaving == update.leaving);
    CHECK(read.value().demands.at(0).second.others == Approx(12.34));
    CHECK(read.value().demands.at(0).second.region_fraction == Approx(0.25));
    CHECK(read.value().loads.at(0) == update.loads.at(0));
    CHECK(read.value().loads.at(1).second == 65'535);
    CHECK(read.value().next_object == 44);
    CHECK(read.value().new_objects.at(0).object == 0xfedcba9876543210ULL);
    CHECK(read.value().crashes.at(0).upstream_crashes == 2);
    update.changes.reset();
    CHECK_FALSE(read_region_update(write_region_update(update)).value().changes);

    SECTION("and are rejected when they are corrupt") {
        for (std::size_t length = 0; length < text.size(); ++length)
            CHECK_FALSE(read_region_update(text.substr(0, length)));
        CHECK_FALSE(read_region_update(text + "x"));
        update.demands[0].second.region_fraction = 1.5;
        CHECK_FALSE(read_region_update(write_region_update(update)));
    }
}

TEST_CASE("a host record survives serialization") {
    entry_host host = make_host("front-1", 77, "delta");
    host.capacity = 0.25;
    const auto read = read_host_record(write_host_record(host));
    REQUIRE(read);
    CHECK(read.value().capacity == Approx(0.25));
    CHECK(read.value().name == "front-1");
    CHECK(read.value().incarnation == 77);
    CHECK(read.value().region == "delta");
    CHECK(read.value().peer_address == host.peer_address);
    CHECK(host_of_record_key(host_record_key("front-1")) == host_id("front-1"));
    CHECK_FALSE(host_of_record_key("config"));
    CHECK_FALSE(read_host_record("junk"));
}

// Guards against hosts that are lost because their records were written by an earlier or a later release.
TEST_CASE("a host record may lack properties of the host or hold unknown ones") {
    entry_host host = make_host("front-1");
    const std::string early = write_host_record(host);
    CHECK_FALSE(read_host_record(early).value().link_mbps);
    host.link_mbps = 10.5;
    host.memory_mb = 416;
    host.descriptors = 10'660;
    const std::string text = write_host_record(host);
    const auto read = read_host_record(text + "5:color,4:blue,");
    REQUIRE(read);
    CHECK(read.value().link_mbps == 10.5);
    CHECK(read.value().memory_mb == 416);
    CHECK(read.value().descriptors == 10'660);
    for (const std::string bad : {"x", "9:link_kbps,", "9:link_kbps,1:0,", "9:link_kbps,4:fast,", "9:memory_mb,2:-1,"})
        CHECK_FALSE(read_host_record(early + bad));
}

// Guards against shares that are only reached over long sequences of requests.
TEST_CASE("a traffic split has its shares in each short sequence of requests") {
    traffic_splitter splitter;
    steering_route route = make_route("lots");
    route.parts = {{"old", 90}, {"new", 10}};
    for (int span = 0; span < 10; ++span) {
        std::map<service_id, int> counts;
        for (int count = 0; count < 20; ++count)
            ++counts[splitter.choose(route)];
        CHECK(counts["old"] == 18);
        CHECK(counts["new"] == 2);
    }
}

// Guards against fields that are read but not documented, or documented but not read.
TEST_CASE("the settings reference lists the gateway's fields") {
    std::ifstream file(std::string(RAGWORTHINGE_SOURCE_DIRECTORY) + "/docs/settings.md");
    const std::string page((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    const auto begin = page.find("## Gateway settings");
    REQUIRE(begin != std::string::npos);
    std::vector<std::string> documented;
    static const std::regex row("\n\\| `([^`]+)` \\|");
    for (std::sregex_iterator match(page.begin() + static_cast<std::ptrdiff_t>(begin), page.end(), row), end;
         match != end; ++match)
        documented.push_back((*match)[1]);
    std::sort(documented.begin(), documented.end());
    CHECK(documented == gateway_settings_fields());
}

// Guards against a host that does not start because another program wrote a computed number in an unexpected form.
TEST_CASE("bounds are accepted with any number of decimals, and invalid ones are replaced by the fallback") {
    const auto with_bounds = [](const std::string& bounds) {
        return R"({
            "host": "front-1", "region": "gulf", "failure_domain": "gulf-a",
            "listen": {"callers": "127.0.0.1:1", "readiness": "127.0.0.1:2", "lookups": "127.0.0.1:3",
                       "peers": "127.0.0.1:4"},
            "store": "127.0.0.1:5",
            "failure_domains": [{"name": "gulf-a", "region": "gulf"}],
            "bounds": )" +
               bounds + "}";
    };
    for (const double scale : {1.0, 0.6, 1.0 / 3, 1.0 / 7}) {
        for (const double value : {0.1, 0.2, 5.0, 56.0, 430.0, 64.35, 1234567.0}) {
            std::ostringstream text;
            text.precision(17);
            text << value * scale;
            INFO(text.str());
            const auto read = read_gateway_settings("settings", with_bounds(R"({"extra_retries": )" + text.str() +
                                                                            R"(, "retry_ratio": )" + text.str() + "}"));
            CHECK(read.findings.empty());
            CHECK(read.replaced_bounds.empty());
            CHECK(read.settings.bounds.extra_retries == Approx(value * scale));
            CHECK(read.settings.bounds.retry_ratio == Approx(value * scale));
        }
    }
    for (const std::string form : {"1e2", "100.0", "100", "1E+2"}) {
        INFO(form);
        const auto read = read_gateway_settings("settings", with_bounds(R"({"extra_retries": )" + form + "}"));
        CHECK(read.replaced_bounds.empty());
        CHECK(read.settings.bounds.extra_retries == Approx(100));
    }
    const gateway_bounds in_force{.extra_retries = 77};
    for (const std::string form : {"-3", "\"many\"", "null", "true", "[1]"}) {
        INFO(form);
        const std::string text = with_bounds(R"({"extra_retries": )" + form + R"(, "stop_time_s": 7})");
        const auto read = read_gateway_settings("settings", text, in_force);
        CHECK(read.findings.empty());
        REQUIRE(read.replaced_bounds.size() == 1);
        CHECK(read.replaced_bounds.front().path == "bounds.extra_retries");
        CHECK(read.replaced_bounds.front().position.line > 0);
        CHECK(read.settings.bounds.extra_retries == Approx(77));
        CHECK(read.settings.bounds.stop_time == std::chrono::seconds(7));
    }
    CHECK(read_gateway_settings("settings", with_bounds(R"({"extra_retreis": 3})")).findings.size() == 1);
}

TEST_CASE("settings are read, and every finding has its position") {
    const std::string good = R"({
        // a comment
        "host": "front-1", "region": "gulf", "failure_domain": "gulf-a",
        "listen": {"callers": "127.0.0.1:1", "readiness": "127.0.0.1:2", "lookups": "127.0.0.1:3", "peers": "127.0.0.1:4"},
        "store": "127.0.0.1:5",
        "failure_domains": [{"name": "gulf-a", "region": "gulf"}],
        "bounds": {"stop_time_s": 6.5, "retry_ratio": 0.2}
    })";
    const auto read = read_gateway_settings("settings", good);
    CHECK(read.findings.empty());
    CHECK(read.settings.regions.at("gulf-a") == "gulf");
    CHECK(read.settings.bounds.stop_time == std::chrono::milliseconds(6500));
    CHECK(read.settings.listen.metrics.port == 0);

    CHECK_FALSE(read.settings.link_mbps);
    CHECK_FALSE(memory_limit(read.settings));

    const auto bad = read_gateway_settings("settings", R"({"host": 3, "store": "nowhere", "speed": 1})");
    CHECK(bad.findings.size() >= 5);
    CHECK(read_gateway_settings("settings", "{").findings.size() == 1);
}

// Guards against limits out of range that are taken as they are, and against a small host that holds more bodies than
// its memory allows.
TEST_CASE("the room of a host is optional and checked") {
    const auto with_room = [](const std::string& room) {
        return read_gateway_settings("settings", R"({
            "host": "front-1", "region": "gulf", "failure_domain": "gulf-a",
            "listen": {"callers": "127.0.0.1:1", "readiness": "127.0.0.1:2", "lookups": "127.0.0.1:3",
                       "peers": "127.0.0.1:4"},
            "store": "127.0.0.1:5",
            "failure_domains": [{"name": "gulf-a", "region": "gulf"}])" +
                                                     room + "}");
    };
    const auto read = with_room(R"(, "link_mbps": 10.0, "memory_mb": 512, "descriptors": 4100)");
    CHECK(read.findings.empty());
    CHECK(read.settings.link_mbps == 10);
    CHECK(read.settings.descriptors == 4100);
    CHECK(memory_limit(read.settings) == 512UL * 1024 * 1024);
    CHECK(body_memory(read.settings) == 512UL * 1024 * 1024 / 5);
    for (const std::string room : {"", R"(, "memory_mb": 0)", R"(, "memory_mb": 100)", R"(, "memory_mb": 160)"})
        CHECK(body_memory(with_room(room).settings) == 32UL * 1024 * 1024);
    for (const std::string field : {"link_mbps", "memory_mb", "descriptors"}) {
        for (const std::string value : {"-1", "1e12", "\"wide\"", "null", "[]"}) {
            INFO(field << ": " << value);
            const auto bad = with_room(", \"" + field + "\": " + value);
            REQUIRE(bad.findings.size() == 1);
            CHECK(bad.findings.front().path == field);
            CHECK(bad.findings.front().position.line > 0);
        }
    }
}
