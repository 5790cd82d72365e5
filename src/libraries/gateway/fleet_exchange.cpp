#include "gateway/fleet_exchange.h"

#include "base/boot_clock.h"
#include "gateway/fleet_message_codec.h"
#include "net/fiber_runtime.h"

#include <algorithm>
#include <utility>

namespace ragworthinge {

namespace {

/// Message types, sent as the first byte of each message.
constexpr char host_report_message = 'R';
constexpr char snapshot_message = 'S';
constexpr char token_message = 'T';
constexpr char region_report_message = 'D';         ///< Region report of another region's reporter.
constexpr char region_update_request_message = 'B'; ///< Request for a region update; carries the sender's host report.

/// Maximum number of objects in a region report. Hosts find out about further objects from their own requests.
constexpr std::size_t object_limit = 2000;

std::shared_ptr<const std::string> make_message(char kind, std::string_view text) {
    auto message = std::make_shared<std::string>(1, kind);
    message->append(text);
    return message;
}

} // namespace

fleet_exchange::fleet_exchange(fiber_runtime& runtime, fleet_membership& membership, event_log& log,
                               fleet_exchange_options options)
    : m_runtime(runtime), m_membership(membership), m_log(log), m_options(options) {}

result<void> fleet_exchange::open(const network_endpoint& listen, const std::string& fleet_secret) {
    BOOST_OUTCOME_TRY(m_bus, peer_bus::open(m_runtime, {.listen = listen, .fleet_secret = fleet_secret},
                                            [this](std::string_view message) { return handle_message(message); }));
    return boost::outcome_v2::success();
}

std::string fleet_exchange::handle_message(std::string_view message) {
    if (message.empty())
        return {};
    if (message.front() == snapshot_message)
        return m_snapshot_provider ? m_snapshot_provider() : std::string();
    if (message.front() == token_message)
        return m_pool_grant_provider ? write_pool_grant(m_pool_grant_provider(account_id(message.substr(1))))
                                     : std::string();
    if (message.front() == host_report_message)
        handle_host_report(message.substr(1));
    if (message.front() == region_update_request_message)
        return handle_region_update_request(message.substr(1));
    if (message.front() == region_report_message)
        handle_region_report(message.substr(1));
    return {};
}

void fleet_exchange::handle_host_report(std::string_view text) {
    auto report = read_host_report(text);
    if (!report) {
        m_log.write(log_level::warn, "report_refused", field("cause", report.error().message));
        return;
    }
    process_host_report(std::move(report).value());
}

void fleet_exchange::process_host_report(host_report report) {
    for (const known_object& known : report.new_objects) {
        if (m_region_objects.size() < object_limit)
            m_region_objects.push_back(known);
    }
    if (m_on_host_report)
        m_on_host_report(std::move(report));
}

std::string fleet_exchange::handle_region_update_request(std::string_view text) {
    auto update_request = read_region_update_request(text);
    if (!update_request) {
        m_log.write(log_level::warn, "question_refused", field("cause", update_request.error().message));
        return {};
    }
    process_host_report(update_request.value().report);
    return m_region_update_provider ? write_region_update(m_region_update_provider(update_request.value()))
                                    : std::string();
}

void fleet_exchange::handle_region_report(std::string_view text) {
    auto regional_report = read_region_report(text);
    if (!regional_report) {
        m_log.write(log_level::warn, "digest_refused", field("cause", regional_report.error().message));
        return;
    }
    if (m_on_region_report)
        m_on_region_report(std::move(regional_report).value());
}

std::set<host_id> fleet_exchange::unreachable_peers(time_point now) const {
    std::set<host_id> peers;
    for (const auto& [name, until] : m_unreachable) {
        if (now < until)
            peers.insert(name);
    }
    return peers;
}

std::optional<host_id> fleet_exchange::reporter_of(const region_id& region, time_point now) const {
    return m_membership.reporter_of(region, unreachable_peers(now), now);
}

bool fleet_exchange::is_reporter(time_point now) const {
    return m_membership.uses_reporters() &&
           reporter_of(m_membership.options().region, now) == m_membership.options().self;
}

void fleet_exchange::send_reports(time_point now) {
    if (m_bus == nullptr || !m_report_provider)
        return;
    const host_report report = m_report_provider();
    std::vector<known_object> objects = std::exchange(m_region_objects, {});
    if (!m_membership.uses_reporters()) {
        const auto message = make_message(host_report_message, write_host_report(report));
        for (const entry_host& peer : m_membership.peers())
            send(peer, "report", message);
        return;
    }
    const auto reporter = reporter_of(m_membership.options().region, now);
    if (reporter != m_membership.options().self) {
        if (const auto peer = reporter ? find_peer(*reporter) : std::nullopt)
            request_region_update(*peer, report, now);
        return;
    }
    ask_timed_out_reporter(report, now);
    region_report regional_report = m_membership.make_region_report(report, now);
    regional_report.new_objects = std::move(objects);
    regional_report.new_objects.insert(regional_report.new_objects.end(), report.new_objects.begin(),
                                       report.new_objects.end());
    send_region_report(regional_report, now);
}

void fleet_exchange::request_region_update(const entry_host& reporter, const host_report& report, time_point now) {
    const region_update_request update_request{
        .report = report, .object_incarnation = m_object_source, .next_object = m_next_object};
    send(reporter, "question", make_message(region_update_request_message, write_region_update_request(update_request)),
         [this, now, name = reporter.name](std::string_view reply) {
             auto update = read_region_update(reply);
             if (!update) {
                 m_log.write(log_level::warn, "bulletin_refused", field("peer", name),
                             field("cause", update.error().message));
                 return;
             }
             m_object_source = update.value().reporter_incarnation;
             m_next_object = update.value().next_object;
             if (m_on_region_update)
                 m_on_region_update(std::move(update).value(), now);
         });
}

void fleet_exchange::ask_timed_out_reporter(const host_report& report, time_point now) {
    const auto name = m_membership.timed_out_reporter(unreachable_peers(now), now);
    const auto peer = name ? find_peer(*name) : std::nullopt;
    if (!peer)
        return;
    const region_update_request update_request{.report = report, .object_incarnation = 0, .next_object = 0};
    send(*peer, "question", make_message(region_update_request_message, write_region_update_request(update_request)),
         [this, name = peer->name](std::string_view) {
             m_membership.record_reply(name, boot_time_now());
             m_log.write(log_level::info, "reporter_found_again", field("peer", name));
         });
}

void fleet_exchange::send_region_report(const region_report& regional_report, time_point now) {
    const auto message = make_message(region_report_message, write_region_report(regional_report));
    for (const region_id& region : m_membership.other_regions()) {
        const auto reporter = reporter_of(region, now);
        const auto peer = reporter ? find_peer(*reporter) : std::nullopt;
        if (peer)
            send(*peer, "digest", message);
    }
}

void fleet_exchange::send(const entry_host& peer, const std::string& stream, std::shared_ptr<const std::string> message,
                          reply_handler on_reply) {
    const auto endpoint = parse_endpoint(peer.peer_address);
    const std::string key = stream + " to " + peer.name;
    if (!endpoint || !m_pending_streams.insert(key).second)
        return;
    m_runtime.spawn([this, message = std::move(message), on_reply = std::move(on_reply), key, name = peer.name,
                     region = peer.region, address = endpoint.value()] {
        const time_point started = monotonic_clock::now();
        const auto reply = m_bus->request(address, *message, m_options.report_ack_timeout);
        if (reply)
            record_round_trip(region, monotonic_clock::now() - started);
        m_pending_streams.erase(key);
        record_reachable(name, reply.has_value(), reply ? std::string() : reply.error().message);
        if (reply && on_reply)
            on_reply(reply.value());
    });
}

void fleet_exchange::record_reachable(const host_id& peer, bool is_reachable, std::string_view cause) {
    if (is_reachable) {
        if (m_unreachable.erase(peer) > 0)
            m_log.write(log_level::info, "peer_regained", field("peer", peer));
        return;
    }
    const auto [entry, created] = m_unreachable.insert_or_assign(peer, boot_time_now() + m_options.unreachable_period);
    if (created)
        m_log.write(log_level::warn, "peer_lost", field("peer", peer), field("cause", cause));
}

std::optional<std::string> fleet_exchange::request_snapshot(store_position known_position, time_point now) {
    if (m_bus == nullptr)
        return std::nullopt;
    const auto name = m_membership.best_informed_peer(known_position, now);
    if (!name)
        return std::nullopt;
    const auto endpoint = endpoint_of(*name);
    if (!endpoint)
        return std::nullopt;
    auto reply = m_bus->request(*endpoint, std::string(1, snapshot_message), m_options.snapshot_timeout);
    if (reply)
        return std::move(reply).value();
    m_log.write(log_level::info, "peer_snapshot_failed", field("peer", *name), field("cause", reply.error().message));
    return std::nullopt;
}

std::optional<entry_host> fleet_exchange::find_peer(const host_id& name) const {
    for (entry_host& peer : m_membership.peers()) {
        if (peer.name == name)
            return std::move(peer);
    }
    return std::nullopt;
}

std::optional<network_endpoint> fleet_exchange::endpoint_of(const host_id& name) const {
    const auto peer = find_peer(name);
    if (!peer)
        return std::nullopt;
    auto endpoint = parse_endpoint(peer->peer_address);
    return endpoint ? std::optional<network_endpoint>(std::move(endpoint).value()) : std::nullopt;
}

void fleet_exchange::record_round_trip(const region_id& region, duration taken) {
    const auto [entry, created] = m_round_trips.try_emplace(region, taken);
    if (!created)
        entry->second += std::chrono::duration_cast<duration>((taken - entry->second) * m_options.round_trip_weight);
}

duration fleet_exchange::token_timeout(const region_id& region) const {
    const auto found = m_round_trips.find(region);
    if (found == m_round_trips.end())
        return m_options.max_token_timeout;
    return std::clamp(found->second * m_options.token_timeout_round_trips, m_options.min_token_timeout,
                      m_options.max_token_timeout);
}

std::optional<pool_grant> fleet_exchange::request_tokens(const host_id& owner, const account_id& account) {
    const auto peer = find_peer(owner);
    const auto endpoint = endpoint_of(owner);
    if (m_bus == nullptr || !peer || !endpoint)
        return std::nullopt;
    const time_point started = monotonic_clock::now();
    const auto reply = m_bus->request(*endpoint, token_message + account, token_timeout(peer->region));
    if (reply)
        record_round_trip(peer->region, monotonic_clock::now() - started);
    if (!reply) {
        m_log.write(log_level::debug, "pool_silent", field("keeper", owner), field("account", account),
                    field("cause", reply.error().message));
        return std::nullopt;
    }
    const auto granted = read_pool_grant(reply.value());
    if (!granted)
        return std::nullopt;
    return granted.value();
}

} // namespace ragworthinge
