#include "host/traffic_steering.h"

#include "net/fiber_runtime.h"

#include <boost/json.hpp>

#include <algorithm>
#include <chrono>
#include <exception>
#include <utility>

namespace ragworthinge {

namespace {

constexpr double bits_per_megabit = 1e6;
/// Assumed size of an answer; links are charged when the request is sent, before the answer's size is known.
constexpr double assumed_answer_bytes = 4096;
/// A link's burst, as time at its full rate.
constexpr double link_burst_seconds = 0.1;
/// Part of a link that each holder keeps, so that a host without a spending lease can still reach other regions.
constexpr double link_minimum_part = 0.02;
/// A shift's burst, as time at its cap.
constexpr double shift_burst_seconds = 1.0;
/// Part of a second's allowance that the ramp may save up on one host.
constexpr double ramp_burst_seconds = 0.1;
constexpr double kilobits_per_megabit = 1000;
constexpr duration assumed_latency = std::chrono::milliseconds(10);
constexpr duration load_lifetime = std::chrono::seconds(5);
constexpr std::string_view shift_prefix = "shifts/";

units to_units(double value) {
    return static_cast<units>(value * one_unit);
}

bool is_active(const shift_configuration& shift) {
    return shift.state == shift_state::running || shift.state == shift_state::paused;
}

std::string encode(const shift_record& record) {
    const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(record.running_since.time_since_epoch());
    const auto ramp_elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(record.ramp_elapsed);
    return boost::json::serialize(boost::json::array{record.id, record.version, static_cast<unsigned>(record.state),
                                                     ramp_elapsed.count(), since.count(), record.target_latency_ms,
                                                     record.target_error_ratio, record.reason});
}

result<shift_record> decode(std::string_view text) {
    try {
        const boost::json::value value = boost::json::parse({text.data(), text.size()});
        const auto state = value.at(2).to_number<unsigned>();
        if (state > static_cast<unsigned>(shift_state::cancelled))
            return failure(error_code::protocol_violation, "shift record: unknown state");
        return shift_record{.id = boost::json::value_to<std::string>(value.at(0)),
                            .version = value.at(1).to_number<std::uint64_t>(),
                            .state = static_cast<shift_state>(state),
                            .ramp_elapsed = std::chrono::milliseconds(value.at(3).to_number<std::int64_t>()),
                            .running_since =
                                wall_time(std::chrono::milliseconds(value.at(4).to_number<std::int64_t>())),
                            .target_latency_ms = value.at(5).to_number<double>(),
                            .target_error_ratio = value.at(6).to_number<double>(),
                            .reason = boost::json::value_to<std::string>(value.at(7))};
    } catch (const std::exception& problem) {
        return failure(error_code::protocol_violation, std::string("shift record: ") + problem.what());
    }
}

budget_id shift_budget(const std::string& id) {
    return {.kind = budget_kind::shift_cap, .name = id};
}

} // namespace

traffic_steering::traffic_steering(traffic_steering_options options)
    : m_options(std::move(options)), m_links(m_options.shares, m_options.region) {}

std::vector<budget_limit> traffic_steering::budgets(const fleet_configuration& configuration) {
    std::vector<budget_limit> limits;
    for (const link_configuration& link : configuration.links) {
        const double kilobits = link.megabits_per_second * kilobits_per_megabit;
        const double least = kilobits * link_minimum_part;
        limits.push_back({.budget = link_shares::budget_of(link.from, link.to),
                          .limit = {.rate = to_units(kilobits), .burst = to_units(kilobits * link_burst_seconds)},
                          .minimum = {.rate = to_units(least), .burst = to_units(least * link_burst_seconds)}});
    }
    for (const shift_configuration& shift : configuration.shifts) {
        if (!is_active(shift))
            continue;
        limits.push_back(
            {.budget = shift_budget(shift.id),
             .limit = {.rate = to_units(shift.cap_requests_per_second),
                       .burst = to_units(std::max(1.0, shift.cap_requests_per_second * shift_burst_seconds))},
             .minimum = {}});
    }
    return limits;
}

void traffic_steering::configure(const std::shared_ptr<const configuration_snapshot>& snapshot) {
    m_snapshot = snapshot;
    const fleet_configuration& configuration = snapshot->configuration();
    for (const service_configuration& service : configuration.services) {
        std::vector<region_candidate> sites;
        for (const region_configuration& region : configuration.regions) {
            const bool serves = std::ranges::any_of(service.upstreams, [&](const upstream_configuration& upstream) {
                return upstream.region == region.name && upstream.state == upstream_state::active;
            });
            if (!serves)
                continue;
            const duration latency = region.name == m_options.region ? duration::zero() : assumed_latency;
            sites.push_back({.region = region.name, .one_way_latency = latency});
        }
        selector_of(service.name).set_regions(sites);
    }
    m_shifts.configure(configuration.shifts);
    m_running.clear();
    for (const shift_configuration& shift : configuration.shifts) {
        if (shift.from == m_options.region && is_active(shift))
            m_running.push_back({.configuration = shift, .budget = m_options.shares.index_of(shift_budget(shift.id))});
    }
    plan_drains(wall_clock::now());
}

region_selector& traffic_steering::selector_of(const service_id& service) {
    auto& selector = m_selectors[service];
    if (!selector) {
        duration stay = std::chrono::seconds(5);
        if (m_snapshot)
            stay = m_snapshot->configuration().lookup_ttl;
        selector = std::make_unique<region_selector>(m_options.region, region_selector_options{.min_stay = stay});
    }
    return *selector;
}

void traffic_steering::observe(const heartbeat& message, time_point measured_at) {
    for (const service_load_report& load : message.loads) {
        m_loads[{load.service, message.region}] = load;
        m_measured_at[{load.service, message.region}] = measured_at;
        selector_of(load.service)
            .update(message.region, {.slots = static_cast<double>(load.slots),
                                     .largest_domain_slots = static_cast<double>(load.largest_domain_slots),
                                     .in_flight = static_cast<double>(load.occupied),
                                     .measured_at = measured_at});
    }
}

std::optional<region_id> traffic_steering::choose(const request_context& request, time_point now) {
    region_selector& sites = selector_of(request.service);
    const double bytes = static_cast<double>(request.body.size()) + assumed_answer_bytes;
    const double megabits = bytes * 8 / bits_per_megabit;
    if (is_drained_region(m_options.region))
        return sites.select_remote(traffic_kind::planned, megabits, m_links, now);
    if (auto shifted = choose_shifted(request, sites, megabits, now))
        return shifted;
    return sites.select(traffic_kind::unplanned, megabits, m_links, now);
}

std::optional<region_id> traffic_steering::choose_shifted(const request_context& request, region_selector& sites,
                                                          double megabits, time_point now) {
    for (running_shift& shift : m_running) {
        if (std::ranges::find(shift.configuration.services, request.service) == shift.configuration.services.end())
            continue;
        m_options.shares.note_demand(shift.budget, one_unit);
        const auto spare = sites.remaining(shift.configuration.to, traffic_kind::planned, now);
        if (!spare || *spare < 1 || !take_ramp_token(shift, now))
            continue;
        if (!m_options.shares.spend(shift.budget, one_unit, now))
            continue;
        if (!m_links.try_spend(shift.configuration.to, megabits, now))
            continue;
        return shift.configuration.to;
    }
    return std::nullopt;
}

// The fleet-wide cap is kept by the shift's budget. The ramp only has to slow the start down, so each host applies the
// whole allowance to its own requests in proportion to the share that it holds.
bool traffic_steering::take_ramp_token(running_shift& shift, time_point now) const {
    const double cap = shift.configuration.cap_requests_per_second;
    if (cap <= 0)
        return false;
    const double held = static_cast<double>(m_options.shares.held(shift.budget).rate) / one_unit;
    const double rate = held * std::min(1.0, shift.allowed_per_second / cap);
    const double elapsed = std::chrono::duration<double>(now - shift.filled_at).count();
    const double most = std::max(1.0, rate * ramp_burst_seconds);
    shift.tokens = std::min(most, shift.tokens + std::max(0.0, elapsed) * rate);
    shift.filled_at = now;
    if (shift.tokens < 1)
        return false;
    shift.tokens -= 1;
    return true;
}

void traffic_steering::ended(const service_id& service, const region_id& region, bool refused, time_point now) {
    region_selector& sites = selector_of(service);
    sites.record_end(region);
    if (refused)
        sites.record_refusal(region, now);
}

void traffic_steering::plan_drains(wall_time now) {
    if (!m_snapshot || m_snapshot->configuration().drains.empty()) {
        m_plan = {};
        return;
    }
    std::vector<service_load> loads;
    const time_point oldest = monotonic_clock::now() - load_lifetime;
    for (const auto& [place, load] : m_loads) {
        if (m_measured_at[place] >= oldest)
            loads.push_back(
                {.service = place.first, .region = place.second, .busy_slots = static_cast<double>(load.occupied)});
    }
    std::vector<host_location> hosts;
    for (const member& other : m_options.members.members(monotonic_clock::now())) {
        if (other.state == member_state::live)
            hosts.push_back({.host = other.host, .region = other.region, .failure_domain = other.failure_domain});
    }
    auto plan = drain_planner::plan(m_snapshot->configuration(), loads, hosts, now);
    if (!plan) {
        m_options.on_event("drain_unusable", plan.error().message);
        return;
    }
    for (const std::string& id : plan.value().admitted) {
        if (std::ranges::find(m_plan.admitted, id) == m_plan.admitted.end())
            m_options.on_event("drain_running", id);
    }
    for (const std::string& id : plan.value().waiting) {
        if (std::ranges::find(m_plan.waiting, id) == m_plan.waiting.end())
            m_options.on_event("drain_waiting", id + ": what remains could not carry the load");
    }
    m_plan = std::move(plan).value();
}

void traffic_steering::refresh(time_point now) {
    if (!m_snapshot)
        return;
    plan_drains(wall_clock::now());
    if (m_snapshot->configuration().shifts.empty())
        return;
    observe_targets(now);
    const std::vector<shift_allowance> allowed = allowances(wall_clock::now());
    for (running_shift& shift : m_running) {
        const auto found = std::ranges::find(allowed, shift.configuration.id, &shift_allowance::id);
        shift.allowed_per_second = found == allowed.end() ? 0 : found->requests_per_second;
    }
    if (m_exchanging)
        return;
    m_exchanging = true;
    m_options.runtime.spawn([this] {
        exchange_records();
        m_exchanging = false;
    });
}

void traffic_steering::observe_targets(time_point now) {
    for (const running_shift& shift : m_running) {
        target_observation observation{.measured_at = wall_clock::now()};
        double spare = 0;
        bool known = !shift.configuration.services.empty();
        for (const service_id& service : shift.configuration.services) {
            const auto load = m_loads.find({service, shift.configuration.to});
            if (load == m_loads.end() || now - m_measured_at[load->first] > load_lifetime) {
                known = false;
                break;
            }
            const double latency_ms = std::max(1.0, static_cast<double>(load->second.latency_ms));
            const double slots =
                static_cast<double>(load->second.slots) - static_cast<double>(load->second.largest_domain_slots);
            spare += std::max(0.0, slots) * 1000 / latency_ms;
            observation.latency_ms = std::max(observation.latency_ms, latency_ms);
            observation.error_ratio = std::max(observation.error_ratio, load->second.errors_per_mille / 1000.0);
        }
        if (!known)
            continue;
        observation.spare_requests_per_second = spare;
        m_shifts.observe(shift.configuration.id, observation);
    }
}

std::vector<shift_allowance> traffic_steering::allowances(wall_time now) const {
    std::map<std::pair<region_id, region_id>, link_state> links;
    if (!m_snapshot)
        return {};
    for (const link_configuration& link : m_snapshot->configuration().links)
        links[{link.from, link.to}] = {.capacity_megabits_per_second = link.megabits_per_second};
    return m_shifts.allowances(links, now);
}

// The record is written by the allocator of the region that gives traffic away; all hosts read it.
void traffic_steering::exchange_records() {
    const auto range = m_options.store.get_prefix(std::string(shift_prefix));
    if (!range)
        return;
    std::set<std::string> known;
    for (const store_entry& entry : range.value().entries) {
        const auto record = decode(entry.value);
        if (!record) {
            m_options.on_event("store_garbage", record.error().message);
            continue;
        }
        known.insert(record.value().id);
        m_shifts.load(record.value());
    }
    if (!m_options.shares.is_allocator())
        return;
    for (const running_shift& shift : m_running) {
        if (shift.configuration.state != shift_state::running || known.contains(shift.configuration.id))
            continue;
        if (const auto record = m_shifts.start(shift.configuration.id, wall_clock::now()))
            write_record(record.value());
    }
    for (const shift_record& record : m_shifts.check_targets(wall_clock::now())) {
        m_options.on_event("shift_paused", record.id + ": " + record.reason);
        write_record(record);
    }
}

void traffic_steering::write_record(const shift_record& record) {
    const std::string key = std::string(shift_prefix) + record.id;
    const auto current = m_options.store.get(key);
    if (!current)
        return;
    const std::int64_t revision = current.value() ? current.value()->mod_revision : 0;
    const store_transaction transaction{
        .compares = {{.key = key, .mod_revision = revision}},
        .success = {{.type = store_operation::kind::put, .key = key, .value = encode(record)}}};
    // A lost compare-and-swap or reply is repaired by the next exchange, which reads the record again.
    static_cast<void>(m_options.store.commit(transaction));
}

} // namespace ragworthinge
