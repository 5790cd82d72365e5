#pragma once

#include "net/peer_bus.h"
#include "observability/event_log.h"
#include "steering/account_limiter.h"
#include "steering/fleet_membership.h"
#include "steering/fleet_report.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace ragworthinge {

class fiber_runtime;

struct fleet_exchange_options {
    /// Time within which a peer must acknowledge a report. Shorter than the report period, so that reports do not pile
    /// up.
    duration report_timeout = std::chrono::milliseconds(650);
    duration snapshot_timeout = std::chrono::milliseconds(800);
    /// Time for which a peer that did not reply is not chosen as reporter. The longest network partitions that the
    /// deployments specify are 12 s; each request to a dead reporter costs one region update.
    duration unreachable_time = std::chrono::seconds(5);
    /// Time-out for a request for rate tokens from a pool: five round trips between the most distant regions. The
    /// caller waits meanwhile.
    duration token_timeout = std::chrono::milliseconds(200);
};

/// Exchanges reports with the other hosts. In a small fleet each host sends its report to all others. In a larger fleet
/// each host sends its report to the reporter of its region, which replies with a region update; the reporters of the
/// regions exchange region reports. So no host sends messages to all hosts of its region, and only reporters poll the
/// store all the time.
class fleet_exchange {
public:
    using report_source = std::function<host_report()>;
    using report_handler = std::function<void(host_report)>;
    using digest_handler = std::function<void(region_report)>;
    using bulletin_source = std::function<region_update(const region_update_request&)>;
    /// Receives a region update and the time at which it was requested.
    using bulletin_handler = std::function<void(region_update, time_point)>;
    using snapshot_source = std::function<std::string()>;
    using pool_source = std::function<pool_grant(const account_id&)>;

    fleet_exchange(fiber_runtime& runtime, fleet_membership& membership, event_log& log,
                   fleet_exchange_options options = {});

    void on_report_wanted(report_source source) { m_make_report = std::move(source); }
    void on_report(report_handler handler) { m_on_report = std::move(handler); }
    void on_digest(digest_handler handler) { m_on_digest = std::move(handler); }
    void on_bulletin_wanted(bulletin_source source) { m_make_bulletin = std::move(source); }
    void on_bulletin(bulletin_handler handler) { m_on_bulletin = std::move(handler); }
    void on_snapshot_wanted(snapshot_source source) { m_make_snapshot = std::move(source); }
    void on_tokens_wanted(pool_source source) { m_grant_tokens = std::move(source); }

    /// Opens the listener. Errors: unavailable.
    result<void> open(const network_endpoint& listen, const std::string& fleet_secret);
    bool is_open() const noexcept { return m_bus != nullptr; }

    /// Sends a report or a request for a region update, and a region report if this host is its region's reporter. Does
    /// not wait for replies.
    void send_reports(time_point now);

    /// Whether this host is the reporter of its region. False in fleets without reporters.
    bool is_reporter(time_point now) const;

    /// Requests a snapshot from the peer that reported the highest store revision above the given one. Absent if there
    /// is no such peer or it does not reply.
    std::optional<std::string> ask_for_snapshot(std::int64_t known_revision, time_point now);

    /// Requests rate tokens from the host that holds the account's pool. Absent if it does not reply.
    std::optional<pool_grant> ask_for_tokens(const host_id& keeper, const account_id& account);

    std::uint64_t bytes_transferred() const { return m_bus == nullptr ? 0 : m_bus->bytes_transferred(); }

private:
    std::string handle_message(std::string_view message);
    void take_report(std::string_view text);
    void accept_report(host_report report);
    std::string answer_question(std::string_view text);
    void ask_reporter(const entry_host& reporter, const host_report& report, time_point now);
    void take_digest(std::string_view text);
    void record_reachable(const host_id& peer, bool is_reachable, std::string_view cause);
    std::set<host_id> unreachable_peers(time_point now) const;

    /// The region's reporter, chosen among the reachable hosts.
    std::optional<host_id> reporter_of(const region_id& region, time_point now) const;
    void send_digest(const region_report& digest, time_point now);

    using reply_handler = std::function<void(std::string_view)>;

    /// Sends a message to a peer, unless an earlier message of the same stream still waits for its reply. The handler
    /// receives the reply.
    void send(const entry_host& peer, const std::string& stream, std::shared_ptr<const std::string> message,
              reply_handler on_reply = {});
    std::optional<entry_host> find_peer(const host_id& name) const;
    std::optional<network_endpoint> endpoint_of(const host_id& name) const;

    fiber_runtime& m_runtime;
    fleet_membership& m_membership;
    event_log& m_log;
    fleet_exchange_options m_options;
    report_source m_make_report;
    report_handler m_on_report;
    digest_handler m_on_digest;
    bulletin_source m_make_bulletin;
    bulletin_handler m_on_bulletin;
    snapshot_source m_make_snapshot;
    pool_source m_grant_tokens;
    std::unique_ptr<peer_bus> m_bus;
    /// Peers that did not acknowledge their last message, with the time until which they are not chosen as reporters.
    std::map<host_id, time_point> m_unreachable;
    std::set<std::string> m_under_way; ///< Streams with a message that is not acknowledged yet.
    /// Objects that upstreams handled for hosts of this region since the last region report.
    std::vector<known_object> m_region_objects;
    incarnation m_object_source = 0; ///< Incarnation of the reporter that numbered the objects received so far.
    std::uint64_t m_next_object = 0;
};

} // namespace ragworthinge
