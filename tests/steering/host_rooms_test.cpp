#include "steering/host_rooms.h"

#include "steering/steering_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace ragworthinge;

namespace {

constexpr int caller_count = 1000;

entry_host make_host_of(const std::string& name, const std::string& domain, double capacity,
                        std::optional<double> link_mbps) {
    entry_host host = make_host(name);
    host.failure_domain = domain;
    host.capacity = capacity;
    host.link_mbps = link_mbps;
    return host;
}

/// Four large hosts and six small ones in two failure domains.
std::vector<entry_host> mixed_region() {
    std::vector<entry_host> hosts;
    for (const std::string domain : {"gulf-a", "gulf-b"}) {
        for (const std::string number : {"1", "2"})
            hosts.push_back(make_host_of(domain + "-large-" + number, domain, 0.5, 200));
        for (const std::string number : {"1", "2", "3"})
            hosts.push_back(make_host_of(domain + "-small-" + number, domain, 0.25, 10));
    }
    return hosts;
}

struct named_shares {
    std::map<host_id, double> share; ///< Expected part of the callers, which pick a host of their answer at random.
    std::size_t fewest_hosts = 64;
    std::size_t fewest_domains = 64;
};

std::string caller_address(int index) {
    return "100.64." + std::to_string(index / 250) + "." + std::to_string(index % 250);
}

named_shares shares_of(const host_rooms& rooms, const std::vector<entry_host>& hosts) {
    named_shares result;
    for (int index = 0; index < caller_count; ++index) {
        const auto answer = rooms.select(hosts, caller_address(index));
        std::set<failure_domain_id> domains;
        for (const entry_host& host : answer) {
            result.share[host.name] += 1.0 / (caller_count * static_cast<double>(answer.size()));
            domains.insert(host.failure_domain);
        }
        result.fewest_hosts = std::min(result.fewest_hosts, answer.size());
        result.fewest_domains = std::min(result.fewest_domains, domains.size());
    }
    return result;
}

std::vector<host_id> names_of(const std::vector<entry_host>& hosts) {
    std::vector<host_id> names;
    for (const entry_host& host : hosts)
        names.push_back(host.name);
    return names;
}

} // namespace

// Guards against callers that are sent to a narrow link as often as to a wide one.
TEST_CASE("hosts of two kinds are named in proportion to their room") {
    const host_rooms rooms;
    const auto hosts = mixed_region();
    const auto weights = rooms.weights(hosts);
    double total = 0;
    for (const double weight : weights)
        total += weight;
    CHECK(weights.front() > 4 * weights.back());

    const named_shares named = shares_of(rooms, hosts);
    CHECK(named.fewest_hosts >= 3);
    CHECK(named.fewest_domains == 2);
    for (std::size_t index = 0; index < hosts.size(); ++index) {
        INFO(hosts[index].name);
        CHECK(named.share.at(hosts[index].name) == Approx(weights[index] / total).margin(0.03));
    }
}

// Guards against a change for fleets whose hosts are alike, and for those whose hosts differ little.
TEST_CASE("hosts of one kind are all named, in their order") {
    const host_rooms rooms;
    std::vector<entry_host> hosts;
    for (int number = 0; number < 12; ++number)
        hosts.push_back(make_host_of("front-" + std::to_string(number), "gulf-a", 0.24 + 0.004 * number, 10));
    CHECK(names_of(rooms.select(hosts, "100.64.0.1")) == names_of(hosts));
    CHECK(rooms.select({}, "100.64.0.1").empty());
}

// Guards against a caller that must open new connections to hosts that are still there.
TEST_CASE("a host that dies is replaced, and other hosts of the answer mostly stay") {
    const host_rooms rooms;
    auto hosts = mixed_region();
    std::map<int, std::vector<host_id>> before;
    for (int index = 0; index < caller_count; ++index)
        before[index] = names_of(rooms.select(hosts, caller_address(index)));
    const host_id dead = hosts.front().name;
    hosts.erase(hosts.begin());
    std::size_t kept = 0;
    std::size_t others = 0;
    for (int index = 0; index < caller_count; ++index) {
        const auto after = names_of(rooms.select(hosts, caller_address(index)));
        CHECK(after.size() >= 3);
        CHECK(std::find(after.begin(), after.end(), dead) == after.end());
        for (const host_id& name : before[index]) {
            if (name == dead)
                continue;
            ++others;
            kept += std::find(after.begin(), after.end(), name) == after.end() ? 0 : 1;
        }
    }
    CHECK(static_cast<double>(kept) > 0.8 * static_cast<double>(others));

    SECTION("without any large host, all that remain are named") {
        std::erase_if(hosts, [](const entry_host& host) { return host.capacity > 0.25; });
        CHECK(names_of(rooms.select(hosts, "100.64.0.1")) == names_of(hosts));
    }
}

// Guards against an answer of one large host that takes the callers of a whole region with it when it fails.
TEST_CASE("one large host among small ones is not named alone") {
    const host_rooms rooms;
    std::vector<entry_host> hosts{make_host_of("large", "gulf-a", 8, 1000)};
    for (int number = 0; number < 5; ++number)
        hosts.push_back(make_host_of("small-" + std::to_string(number), "gulf-b", 0.1, 10));
    const named_shares named = shares_of(rooms, hosts);
    CHECK(named.fewest_hosts == 3);
    CHECK(named.fewest_domains == 2);
    CHECK(named.share.at("large") == Approx(1.0 / 3));

    SECTION("three hosts are all named") {
        hosts.resize(3);
        CHECK(rooms.select(hosts, "100.64.0.1").size() == 3);
    }
    SECTION("large hosts of one failure domain are joined by one of another") {
        hosts.erase(hosts.begin());
        for (int number = 0; number < 9; ++number)
            hosts.push_back(make_host_of("wide-" + std::to_string(number), "gulf-a", 8, 1000));
        CHECK(shares_of(rooms, hosts).fewest_domains == 2);
    }
}

// Guards against weights of unknown links while hosts of an earlier release have records without them.
TEST_CASE("without the link of each host only the processor counts") {
    const host_rooms rooms;
    auto hosts = mixed_region();
    hosts.back().link_mbps.reset();
    const auto weights = rooms.weights(hosts);
    CHECK(weights.front() == Approx(2 * weights.back()));
    CHECK(weights[2] == Approx(weights.back()));
}

// Guards against a link that decides where requests carry few bytes, and against weights that follow each request.
TEST_CASE("the bytes of requests decide how much the link counts") {
    const auto hosts = mixed_region();
    host_rooms rooms;
    const auto ratio = [&] {
        return rooms.weights(hosts).front() / rooms.weights(hosts).back();
    };
    const double initial = ratio();
    for (int number = 0; number < 10; ++number)
        rooms.record_bytes(540'000);
    CHECK(ratio() == initial);
    rooms = host_rooms();
    for (int number = 0; number < 500; ++number)
        rooms.record_bytes(9000);
    CHECK(ratio() == initial);
    for (int number = 0; number < 20'000; ++number)
        rooms.record_bytes(90'000);
    CHECK(ratio() > 1.5 * initial);
    for (int number = 0; number < 20'000; ++number)
        rooms.record_bytes(100);
    CHECK(ratio() < initial);
}
