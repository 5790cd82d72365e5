#include "configuration/configuration_validator.h"

#include "configuration/element_path.h"
#include "configuration/ip_address.h"
#include "configuration/nearest_name.h"
#include "configuration/path_prefix.h"
#include "configuration/utc_time.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace ragworthinge {

namespace {

constexpr std::size_t digest_characters = 64;

template <class Map>
std::vector<std::string> keys_of(const Map& map) {
    std::vector<std::string> keys;
    keys.reserve(map.size());
    for (const auto& [key, value] : map)
        keys.push_back(key);
    return keys;
}

std::string lower_case(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

bool is_hex_digest(std::string_view text) {
    const auto is_digit = [](char letter) {
        return (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'f');
    };
    return text.size() == digest_characters && std::all_of(text.begin(), text.end(), is_digit);
}

std::string number_text(double value) {
    auto text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.')
        text.pop_back();
    return text;
}

} // namespace

bool is_active(shift_state state) noexcept {
    return state == shift_state::planned || state == shift_state::running || state == shift_state::paused;
}

std::vector<located_problem> validate_configuration(const fleet_configuration& configuration) {
    return configuration_validator(configuration).validate();
}

std::vector<located_problem> configuration_validator::validate() {
    check_regions();
    check_links();
    check_services();
    check_accounts();
    check_routes();
    check_keys();
    check_shifts();
    check_drains();
    check_client_blocks();
    return std::move(m_problems);
}

void configuration_validator::report(std::string path, std::string message, std::string suggestion) {
    m_problems.push_back({std::move(path), std::move(message), std::move(suggestion), false});
}

bool configuration_validator::add_name(index& names, const std::string& name, std::size_t position,
                                       const std::string& path, std::string_view kind) {
    if (name.empty() || names.emplace(name, position).second)
        return true;
    report(path, "another " + std::string(kind) + " has the name '" + name + "'");
    return false;
}

void configuration_validator::check_reference(const index& names, const std::string& name, const std::string& path,
                                              std::string_view kind) {
    if (!name.empty() && !names.contains(name))
        report(path, "there is no " + std::string(kind) + " '" + name + "'", suggest_name(name, keys_of(names)));
}

void configuration_validator::check_regions() {
    for (std::size_t i = 0; i < m_configuration.regions.size(); ++i) {
        const auto& region = m_configuration.regions[i];
        const auto path = element_path("regions", i);
        add_name(m_regions, region.name, i, path + ".name", "region");
        // A drain names a failure domain without its region, so the name must be unique in the fleet.
        for (std::size_t j = 0; j < region.failure_domains.size(); ++j)
            add_name(m_failure_domains, region.failure_domains[j], i, path + element_path(".failure_domains", j),
                     "failure domain");
    }
    if (m_configuration.regions.empty())
        report("regions", "there must be at least one region");
}

void configuration_validator::check_links() {
    for (std::size_t i = 0; i < m_configuration.links.size(); ++i) {
        const auto& link = m_configuration.links[i];
        const auto path = element_path("links", i);
        check_reference(m_regions, link.from, path + ".from", "region");
        check_reference(m_regions, link.to, path + ".to", "region");
        if (!link.from.empty() && link.from == link.to)
            report(path + ".to", "a link must join two different regions");
        else if (!m_links.emplace(std::pair(link.from, link.to), link.megabits_per_second).second)
            report(path, "another link has the same direction between these regions");
    }
}

void configuration_validator::check_services() {
    for (std::size_t i = 0; i < m_configuration.services.size(); ++i) {
        const auto& service = m_configuration.services[i];
        const auto path = element_path("services", i);
        add_name(m_services, service.name, i, path + ".name", "service");
        for (std::size_t j = 0; j < service.upstreams.size(); ++j) {
            const auto upstream_path = path + element_path(".upstreams", j);
            add_name(m_upstreams, service.upstreams[j].name, j, upstream_path + ".name", "upstream");
            check_upstream(service.upstreams[j], upstream_path);
        }
        if (service.upstreams.empty())
            report(path + ".upstreams", "a service must have at least one upstream");
    }
}

void configuration_validator::check_upstream(const upstream_configuration& upstream, const std::string& path) {
    check_reference(m_regions, upstream.region, path + ".region", "region");
    const auto domain = m_failure_domains.find(upstream.failure_domain);
    const auto region = m_regions.find(upstream.region);
    if (domain == m_failure_domains.end())
        check_reference(m_failure_domains, upstream.failure_domain, path + ".failure_domain", "failure domain");
    else if (region != m_regions.end() && domain->second != region->second)
        report(path + ".failure_domain", "the failure domain '" + upstream.failure_domain + "' is in region '" +
                                             m_configuration.regions[domain->second].name + "'");
    check_address(upstream, path);
}

void configuration_validator::check_address(const upstream_configuration& upstream, const std::string& path) {
    if (upstream.address.empty())
        return;
    const auto address = parse_ip_address(upstream.address);
    if (!address) {
        report(path + ".address", address.error().message);
        return;
    }
    if (address.value().is_unspecified() || address.value().is_multicast()) {
        report(path + ".address", "is not the address of one process");
        return;
    }
    if (upstream.port == 0)
        return;
    const auto [used, added] =
        m_upstream_addresses.emplace(std::pair(to_text(address.value()), upstream.port), upstream.name);
    if (!added)
        report(path + ".port", "the upstream '" + used->second + "' has the same address and port");
}

void configuration_validator::check_accounts() {
    for (std::size_t i = 0; i < m_configuration.client_accounts.size(); ++i)
        add_name(m_accounts, m_configuration.client_accounts[i].name, i, element_path("client_accounts", i) + ".name",
                 "client account");
}

void configuration_validator::check_routes() {
    for (std::size_t i = 0; i < m_configuration.routes.size(); ++i)
        check_route(m_configuration.routes[i], element_path("routes", i));
    check_prefix_pairs();
}

void configuration_validator::check_route(const route_configuration& route, const std::string& path) {
    static const std::vector<std::string> methods = {"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"};
    const auto fault = path_prefix_fault(route.path_prefix);
    if (!route.path_prefix.empty() && !fault.empty())
        report(path + ".path_prefix", fault);
    check_reference(m_services, route.service, path + ".service", "service");
    if (route.open && !route.accounts.empty())
        report(path + ".accounts", "an open route needs no key and cannot be limited to client accounts");
    std::set<std::string> seen;
    for (std::size_t i = 0; i < route.accounts.size(); ++i) {
        check_reference(m_accounts, route.accounts[i], path + element_path(".accounts", i), "client account");
        if (!seen.insert(route.accounts[i]).second)
            report(path + element_path(".accounts", i), "is listed twice");
    }
    seen.clear();
    for (std::size_t i = 0; i < route.idempotent_methods.size(); ++i) {
        const auto& method = route.idempotent_methods[i];
        if (std::find(methods.begin(), methods.end(), method) == methods.end())
            report(path + element_path(".idempotent_methods", i), "is no known method", suggest_name(method, methods));
        if (!seen.insert(method).second)
            report(path + element_path(".idempotent_methods", i), "is listed twice");
    }
}

void configuration_validator::check_prefix_pairs() {
    std::map<std::string, std::size_t> prefixes;
    std::map<std::string, std::string> folded;
    for (std::size_t i = 0; i < m_configuration.routes.size(); ++i) {
        const auto& prefix = m_configuration.routes[i].path_prefix;
        const auto path = element_path("routes", i) + ".path_prefix";
        if (prefix.empty())
            continue;
        if (!prefixes.emplace(prefix, i).second) {
            report(path, "another route has the same prefix");
            continue;
        }
        const auto [similar, added] = folded.emplace(lower_case(prefix), prefix);
        if (!added)
            report(path, "is ambiguous: differs from '" + similar->second + "' only in upper and lower case");
    }
    for (const auto& [prefix, i] : prefixes) {
        const auto path = element_path("routes", i) + ".path_prefix";
        for (std::size_t length = 1; length < prefix.size(); ++length) {
            const bool listed = prefixes.contains(prefix.substr(0, length));
            if (!listed || prefix[length - 1] == '/')
                continue;
            const auto shorter = prefix.substr(0, length);
            if (prefix == shorter + "/")
                report(path, "is ambiguous: differs from '" + shorter + "' only in the slash at the end");
            else if (prefix[length] != '/')
                report(path, "overlaps '" + shorter + "' in the middle of a segment",
                       "write '" + shorter + "/' if only paths below it are meant");
        }
    }
}

void configuration_validator::check_keys() {
    index ids;
    std::map<std::string, std::string> digests;
    for (std::size_t i = 0; i < m_configuration.keys.size(); ++i) {
        const auto& key = m_configuration.keys[i];
        const auto path = element_path("keys", i);
        add_name(ids, key.id, i, path + ".id", "key");
        check_reference(m_accounts, key.account, path + ".account", "client account");
        if (!key.digest.empty() && !is_hex_digest(key.digest))
            report(path + ".digest", "must be 64 lower-case hexadecimal digits",
                   "HMAC-SHA-256 of the key under the fleet secret");
        else if (!key.digest.empty() && !digests.emplace(key.digest, key.id).second)
            report(path + ".digest", "the key '" + digests[key.digest] + "' has the same digest");
    }
}

void configuration_validator::check_shifts() {
    index ids;
    for (std::size_t i = 0; i < m_configuration.shifts.size(); ++i) {
        const auto path = element_path("shifts", i);
        add_name(ids, m_configuration.shifts[i].id, i, path + ".id", "shift");
        check_shift(m_configuration.shifts[i], path);
    }
    check_shift_sums();
}

void configuration_validator::check_shift(const shift_configuration& shift, const std::string& path) {
    check_reference(m_regions, shift.from, path + ".from", "region");
    check_reference(m_regions, shift.to, path + ".to", "region");
    std::set<std::string> seen;
    for (std::size_t i = 0; i < shift.services.size(); ++i) {
        const auto service_path = path + element_path(".services", i);
        check_reference(m_services, shift.services[i], service_path, "service");
        if (!seen.insert(shift.services[i]).second)
            report(service_path, "is listed twice");
        const auto known = m_services.find(shift.services[i]);
        if (known == m_services.end() || !is_active(shift.state) || !m_regions.contains(shift.to))
            continue;
        const auto& upstreams = m_configuration.services[known->second].upstreams;
        const bool has_target = std::any_of(upstreams.begin(), upstreams.end(),
                                            [&](const auto& upstream) { return upstream.region == shift.to; });
        if (!has_target)
            report(service_path, "the service has no upstream in region '" + shift.to + "'");
    }
    if (!shift.from.empty() && shift.from == shift.to) {
        report(path + ".to", "a shift must join two different regions");
        return;
    }
    if (!m_regions.contains(shift.from) || !m_regions.contains(shift.to))
        return;
    const auto link = m_links.find({shift.from, shift.to});
    if (link == m_links.end())
        report(path + ".to", "there is no link from '" + shift.from + "' to '" + shift.to + "'");
    else if (shift.cap_megabits_per_second > link->second)
        report(path + ".cap_megabits_per_second", "is above the link's " + number_text(link->second) + " Mbit/s");
}

void configuration_validator::check_shift_sums() {
    std::map<std::pair<region_id, region_id>, double> megabits;
    std::map<region_id, double> requests;
    double accepted_rate = 0;
    // Open routes carry requests without an account, so a fleet without accounts has no sum to compare with; neither
    // has one with a rate that could not be read.
    bool rates_are_known = !m_configuration.client_accounts.empty();
    for (const auto& account : m_configuration.client_accounts) {
        accepted_rate += account.rate_per_second;
        rates_are_known = rates_are_known && account.rate_per_second > 0;
    }
    for (std::size_t i = 0; i < m_configuration.shifts.size(); ++i) {
        const auto& shift = m_configuration.shifts[i];
        if (!is_active(shift.state))
            continue;
        const auto path = element_path("shifts", i);
        const auto link = m_links.find({shift.from, shift.to});
        auto& megabit_sum = megabits[{shift.from, shift.to}];
        megabit_sum += shift.cap_megabits_per_second;
        if (link != m_links.end() && megabit_sum > link->second)
            report(path + ".cap_megabits_per_second", "the caps of all shifts in this direction sum to " +
                                                          number_text(megabit_sum) + ", above the link's " +
                                                          number_text(link->second) + " Mbit/s");
        auto& request_sum = requests[shift.from];
        request_sum += shift.cap_requests_per_second;
        if (rates_are_known && request_sum > accepted_rate)
            report(path + ".cap_requests_per_second",
                   "the caps of all shifts out of this region sum to " + number_text(request_sum) +
                       ", above the rates of all client accounts, " + number_text(accepted_rate));
    }
}

void configuration_validator::check_drains() {
    index ids;
    for (std::size_t i = 0; i < m_configuration.drains.size(); ++i) {
        const auto& drain = m_configuration.drains[i];
        const auto path = element_path("drains", i);
        add_name(ids, drain.id, i, path + ".id", "drain");
        if (!drain.target.empty())
            check_drain_target(drain.target, path + ".target");
        if (drain.starts_at.empty())
            continue;
        const auto time = parse_utc_time(drain.starts_at);
        if (!time)
            report(path + ".starts_at", time.error().message);
    }
}

void configuration_validator::check_drain_target(const std::string& target, const std::string& path) {
    const auto colon = target.find(':');
    const auto kind = target.substr(0, colon);
    const auto name = colon == std::string::npos ? std::string{} : target.substr(colon + 1);
    static const std::vector<std::string> kinds = {"upstream", "host", "failure_domain", "region"};
    if (colon == std::string::npos || !is_valid_name(name))
        report(path, "must have the form KIND:NAME", "KIND is upstream, host, failure_domain or region");
    else if (kind == "upstream")
        check_reference(m_upstreams, name, path, "upstream");
    else if (kind == "failure_domain")
        check_reference(m_failure_domains, name, path, "failure domain");
    else if (kind == "region")
        check_reference(m_regions, name, path, "region");
    else if (kind != "host")
        report(path, "'" + kind + "' cannot be drained", suggest_name(kind, kinds));
}

void configuration_validator::check_client_blocks() {
    // There may be a million blocks, so paths are built only for problems and the search for duplicates sorts once.
    std::vector<std::pair<ip_prefix, std::size_t>> prefixes;
    prefixes.reserve(m_configuration.client_blocks.size());
    for (std::size_t i = 0; i < m_configuration.client_blocks.size(); ++i) {
        const auto& block = m_configuration.client_blocks[i];
        if (!m_regions.contains(block.site))
            check_reference(m_regions, block.site, element_path("client_blocks", i) + ".site", "region");
        if (block.prefix.empty())
            continue;
        const auto prefix = parse_ip_prefix(block.prefix);
        if (!prefix)
            report(element_path("client_blocks", i) + ".prefix", prefix.error().message);
        else
            prefixes.emplace_back(prefix.value(), i);
    }
    std::sort(prefixes.begin(), prefixes.end());
    for (std::size_t i = 1; i < prefixes.size(); ++i)
        if (prefixes[i].first == prefixes[i - 1].first)
            report(element_path("client_blocks", prefixes[i].second) + ".prefix", "another block has the same prefix");
}

} // namespace ragworthinge
