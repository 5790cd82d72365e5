#include "gateway/fleet_exchange.h"

#include "base/boot_clock.h"
#include "gateway/fleet_report_codec.h"
#include "net/fiber_runtime.h"

#include <utility>

namespace ragworthinge {

namespace {

/// Message types, sent as the first byte of each message.
constexpr char report_message = 'R';
constexpr char snapshot_message = 'S';
constexpr char token_message = 'T';
constexpr char digest_message = 'D';   ///< Region report of another region's reporter.
constexpr char question_message = 'B'; ///< Request for a region update; carries the sender's host report.

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
        return m_make_snapshot ? m_make_snapshot() : std::string();
    if (message.front() == token_message)
        return m_grant_tokens ? write_pool_answer(m_grant_tokens(account_id(message.substr(1)))) : std::string();
    if (message.front() == report_message)
        take_report(message.substr(1));
    if (message.front() == question_message)
        return answer_question(message.substr(1));
    if (message.front() == digest_message)
        take_digest(message.substr(1));
    return {};
}

void fleet_exchange::take_report(std::string_view text) {
    auto report = read_fleet_report(text);
    if (!report) {
        m_log.write(log_level::warn, "report_refused", field("cause", report.error().message));
        return;
    }
    accept_report(std::move(report).value());
}

void fleet_exchange::accept_report(host_report report) {
    for (const known_object& known : report.new_objects) {
        if (m_region_objects.size() < object_limit)
            m_region_objects.push_back(known);
    }
    if (m_on_report)
        m_on_report(std::move(report));
}

std::string fleet_exchange::answer_question(std::string_view text) {
    auto question = read_bulletin_question(text);
    if (!question) {
        m_log.write(log_level::warn, "question_refused", field("cause", question.error().message));
        return {};
    }
    accept_report(question.value().report);
    return m_make_bulletin ? write_region_bulletin(m_make_bulletin(question.value())) : std::string();
}

void fleet_exchange::take_digest(std::string_view text) {
    auto digest = read_region_digest(text);
    if (!digest) {
        m_log.write(log_level::warn, "digest_refused", field("cause", digest.error().message));
        return;
    }
    if (m_on_digest)
        m_on_digest(std::move(digest).value());
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
    if (m_bus == nullptr || !m_make_report)
        return;
    const host_report report = m_make_report();
    std::vector<known_object> objects = std::exchange(m_region_objects, {});
    if (!m_membership.uses_reporters()) {
        const auto message = make_message(report_message, write_fleet_report(report));
        for (const entry_host& peer : m_membership.peers())
            send(peer, "report", message);
        return;
    }
    const auto reporter = reporter_of(m_membership.options().region, now);
    if (reporter != m_membership.options().self) {
        if (const auto peer = reporter ? find_peer(*reporter) : std::nullopt)
            ask_reporter(*peer, report, now);
        return;
    }
    region_report digest = m_membership.make_region_report(report, now);
    digest.new_objects = std::move(objects);
    digest.new_objects.insert(digest.new_objects.end(), report.new_objects.begin(), report.new_objects.end());
    send_digest(digest, now);
}

void fleet_exchange::ask_reporter(const entry_host& reporter, const host_report& report, time_point now) {
    const region_update_request question{
        .report = report, .object_incarnation = m_object_source, .next_object = m_next_object};
    send(reporter, "question", make_message(question_message, write_bulletin_question(question)),
         [this, now, name = reporter.name](std::string_view reply) {
             auto bulletin = read_region_bulletin(reply);
             if (!bulletin) {
                 m_log.write(log_level::warn, "bulletin_refused", field("peer", name),
                             field("cause", bulletin.error().message));
                 return;
             }
             m_object_source = bulletin.value().reporter_incarnation;
             m_next_object = bulletin.value().next_object;
             if (m_on_bulletin)
                 m_on_bulletin(std::move(bulletin).value(), now);
         });
}

void fleet_exchange::send_digest(const region_report& digest, time_point now) {
    const auto message = make_message(digest_message, write_region_digest(digest));
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
    if (!endpoint || !m_under_way.insert(key).second)
        return;
    m_runtime.spawn([this, message = std::move(message), on_reply = std::move(on_reply), key, name = peer.name,
                     address = endpoint.value()] {
        const auto reply = m_bus->request(address, *message, m_options.report_timeout);
        m_under_way.erase(key);
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
    const auto [entry, created] = m_unreachable.insert_or_assign(peer, boot_time_now() + m_options.unreachable_time);
    if (created)
        m_log.write(log_level::warn, "peer_lost", field("peer", peer), field("cause", cause));
}

std::optional<std::string> fleet_exchange::ask_for_snapshot(std::int64_t known_revision, time_point now) {
    if (m_bus == nullptr)
        return std::nullopt;
    const auto name = m_membership.best_informed_peer(known_revision, now);
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

std::optional<pool_grant> fleet_exchange::ask_for_tokens(const host_id& keeper, const account_id& account) {
    const auto endpoint = endpoint_of(keeper);
    if (m_bus == nullptr || !endpoint)
        return std::nullopt;
    const auto reply = m_bus->request(*endpoint, token_message + account, m_options.token_timeout);
    if (!reply) {
        m_log.write(log_level::debug, "pool_silent", field("keeper", keeper), field("account", account),
                    field("cause", reply.error().message));
        return std::nullopt;
    }
    const auto granted = read_pool_answer(reply.value());
    if (!granted)
        return std::nullopt;
    return granted.value();
}

} // namespace ragworthinge
