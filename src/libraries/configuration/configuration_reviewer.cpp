#include "configuration/configuration_reviewer.h"

#include "configuration/configuration_validator.h"
#include "configuration/element_path.h"
#include "configuration/ip_address.h"

#include <algorithm>
#include <cstddef>
#include <string_view>
#include <utility>

namespace ragworthinge {

namespace {

bool is_in_effect(const drain_configuration& drain) {
    return drain.state == drain_state::planned || drain.state == drain_state::running;
}

/// Whether a path that starts with `longer` also starts with `shorter`, at the end of a segment.
bool covers(const std::string& shorter, const std::string& longer) {
    if (shorter.size() >= longer.size() || !longer.starts_with(shorter))
        return false;
    return shorter.back() == '/' || longer[shorter.size()] == '/';
}

bool handles_alike(const route_configuration& left, const route_configuration& right) {
    const auto sorted = [](std::vector<std::string> names) {
        std::sort(names.begin(), names.end());
        return names;
    };
    return left.service == right.service && left.open == right.open &&
           sorted(left.accounts) == sorted(right.accounts) &&
           sorted(left.idempotent_methods) == sorted(right.idempotent_methods);
}

bool contains(const ip_prefix& outer, const ip_prefix& inner) {
    if (outer.address.is_v6 != inner.address.is_v6 || outer.length > inner.length)
        return false;
    constexpr unsigned byte_bits = 8;
    const auto whole_bytes = static_cast<std::ptrdiff_t>(outer.length / byte_bits);
    const auto& left = outer.address.bytes;
    const auto& right = inner.address.bytes;
    if (!std::equal(left.begin(), left.begin() + whole_bytes, right.begin()))
        return false;
    const unsigned rest = outer.length % byte_bits;
    if (rest == 0)
        return true;
    const unsigned mask = 0xffU << (byte_bits - rest);
    const auto last = static_cast<std::size_t>(whole_bytes);
    return (left[last] & mask) == (right[last] & mask);
}

} // namespace

std::vector<located_problem> review_configuration(const fleet_configuration& configuration) {
    return configuration_reviewer(configuration).review();
}

std::vector<located_problem> configuration_reviewer::review() {
    review_services();
    review_routes();
    review_accounts();
    review_shifts();
    review_client_blocks();
    return std::move(m_problems);
}

void configuration_reviewer::report(std::string path, std::string message, std::string suggestion) {
    m_problems.push_back({std::move(path), std::move(message), std::move(suggestion), false});
}

bool configuration_reviewer::has_key(const account_id& account) const {
    return std::any_of(m_configuration.keys.begin(), m_configuration.keys.end(),
                       [&](const key_configuration& key) { return key.account == account; });
}

bool configuration_reviewer::is_drained(const upstream_configuration& upstream) const {
    return std::any_of(m_configuration.drains.begin(), m_configuration.drains.end(),
                       [&](const drain_configuration& drain) {
                           return is_in_effect(drain) && (drain.target == "upstream:" + upstream.name ||
                                                          drain.target == "failure_domain:" + upstream.failure_domain ||
                                                          drain.target == "region:" + upstream.region);
                       });
}

void configuration_reviewer::review_services() {
    for (std::size_t i = 0; i < m_configuration.services.size(); ++i) {
        const auto& service = m_configuration.services[i];
        const auto path = element_path("services", i);
        const bool is_routed =
            std::any_of(m_configuration.routes.begin(), m_configuration.routes.end(),
                        [&](const route_configuration& route) { return route.service == service.name; });
        if (!is_routed)
            report(path + ".name", "no route leads to this service, so it gets no request");
        review_service_capacity(service, path);
    }
}

void configuration_reviewer::review_service_capacity(const service_configuration& service, const std::string& path) {
    const auto& upstreams = service.upstreams;
    const auto is_leaving = [](const upstream_configuration& upstream) {
        return upstream.state == upstream_state::leaving;
    };
    if (std::all_of(upstreams.begin(), upstreams.end(), is_leaving))
        report(path + ".upstreams", "all upstreams are leaving, so every request of the service is refused");
    else if (std::all_of(upstreams.begin(), upstreams.end(),
                         [&](const auto& upstream) { return is_leaving(upstream) || is_drained(upstream); }))
        report(path + ".upstreams", "the drains leave no upstream, so every request of the service is refused");
}

const route_configuration* configuration_reviewer::next_shorter_route(const route_configuration& route) const {
    const route_configuration* longest = nullptr;
    for (const auto& other : m_configuration.routes) {
        if (covers(other.path_prefix, route.path_prefix) &&
            (longest == nullptr || other.path_prefix.size() > longest->path_prefix.size()))
            longest = &other;
    }
    return longest;
}

void configuration_reviewer::review_routes() {
    for (std::size_t i = 0; i < m_configuration.routes.size(); ++i) {
        const auto& route = m_configuration.routes[i];
        const auto path = element_path("routes", i);
        review_nested_route(route, path);
        if (route.open)
            continue;
        if (m_configuration.keys.empty()) {
            report(path + ".path_prefix", "the route needs a key and there is none, so every request is refused");
            continue;
        }
        for (std::size_t j = 0; j < route.accounts.size(); ++j) {
            if (!has_key(route.accounts[j]))
                report(path + element_path(".accounts", j),
                       "the client account has no key, so this entry can never match");
        }
    }
}

void configuration_reviewer::review_nested_route(const route_configuration& route, const std::string& path) {
    const route_configuration* shorter = next_shorter_route(route);
    if (shorter != nullptr && handles_alike(*shorter, route))
        report(path + ".path_prefix", "has no effect: '" + shorter->path_prefix + "' handles these requests alike");
}

void configuration_reviewer::review_accounts() {
    for (std::size_t i = 0; i < m_configuration.client_accounts.size(); ++i) {
        const auto& account = m_configuration.client_accounts[i];
        if (!has_key(account.name))
            report(element_path("client_accounts", i) + ".name",
                   "the client account has no key, so none of its requests can be recognised");
    }
}

void configuration_reviewer::review_shifts() {
    const auto& shifts = m_configuration.shifts;
    for (std::size_t i = 0; i < shifts.size(); ++i) {
        if (is_active(shifts[i].state))
            review_shift(shifts[i], element_path("shifts", i));
    }
}

void configuration_reviewer::review_shift(const shift_configuration& shift, const std::string& path) {
    // Callers follow a step of the ramp only when their cached lookup answer ends.
    if (shift.ramp < m_configuration.lookup_ttl)
        report(path + ".ramp_seconds", "is shorter than the lookup's ttl_seconds, so callers move in one step");
    for (const auto& drain : m_configuration.drains) {
        if (is_in_effect(drain) && drain.target == "region:" + shift.to)
            report(path + ".to", "the drain '" + drain.id + "' takes traffic out of the region that this shift fills");
    }
    for (const auto& other : m_configuration.shifts) {
        if (&other == &shift || !is_active(other.state) || other.from != shift.to || other.to != shift.from)
            continue;
        for (std::size_t i = 0; i < shift.services.size(); ++i) {
            const auto& service = shift.services[i];
            if (std::find(other.services.begin(), other.services.end(), service) != other.services.end())
                report(path + element_path(".services", i),
                       "the shift '" + other.id + "' moves the service in the other direction");
        }
    }
    for (std::size_t i = 0; i < shift.services.size(); ++i) {
        for (const auto& service : m_configuration.services) {
            const bool is_here = std::any_of(service.upstreams.begin(), service.upstreams.end(),
                                             [&](const auto& upstream) { return upstream.region == shift.from; });
            if (service.name == shift.services[i] && !is_here)
                report(path + element_path(".services", i),
                       "the service has no upstream in region '" + shift.from + "', so there is nothing to move");
        }
    }
}

void configuration_reviewer::review_client_blocks() {
    // There may be a million blocks. In sorted order a block follows the blocks that contain it.
    std::vector<std::pair<ip_prefix, std::size_t>> blocks;
    blocks.reserve(m_configuration.client_blocks.size());
    for (std::size_t i = 0; i < m_configuration.client_blocks.size(); ++i) {
        if (const auto prefix = parse_ip_prefix(m_configuration.client_blocks[i].prefix))
            blocks.emplace_back(prefix.value(), i);
    }
    std::sort(blocks.begin(), blocks.end());
    std::vector<std::pair<ip_prefix, std::size_t>> enclosing;
    for (const auto& block : blocks) {
        while (!enclosing.empty() && !contains(enclosing.back().first, block.first))
            enclosing.pop_back();
        if (!enclosing.empty() && m_configuration.client_blocks[enclosing.back().second].site ==
                                      m_configuration.client_blocks[block.second].site)
            report(element_path("client_blocks", block.second) + ".prefix",
                   "has no effect: '" + to_text(enclosing.back().first) + "' names the same site");
        enclosing.push_back(block);
    }
}

} // namespace ragworthinge
