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
    duration report_ack_timeout = std::chrono::milliseconds(650);
    duration snapshot_timeout = std::chrono::milliseconds(800);
    /// Time for which a peer that did not reply is not chosen as reporter. The longest network partitions that the
    /// deployments specify are 12 s; each request to a dead reporter costs one region update.
    duration unreachable_period = std::chrono::seconds(5);
    /// Time-out for a request for rate tokens from a pool, in round trips to the region of the pool's owner. A new
    /// connection takes three, a lost packet up to two more. The caller waits meanwhile.
    int token_timeout_round_trips = 6;
    duration min_token_timeout = std::chrono::milliseconds(200); ///< Allows for a busy owner.
    duration max_token_timeout = std::chrono::seconds(1);        ///< Applies until a round trip was measured.
    double round_trip_weight = 0.3;                              ///< Weight of the newest round trip in the average.
};

/// Exchanges reports with the other hosts. In a small fleet each host sends its report to all others. In a larger fleet
/// each host sends its report to the reporter of its region, which replies with a region update; the reporters of the
/// regions exchange region reports. So no host sends messages to all hosts of its region, and only reporters poll the
/// store all the time.
class fleet_exchange {
public:
    using report_provider = std::function<host_report()>;
    using host_report_handler = std::function<void(host_report)>;
    using region_report_handler = std::function<void(region_report)>;
    using region_update_provider = std::function<region_update(const region_update_request&)>;
    /// Receives a region update and the time at which it was requested.
    using region_update_handler = std::function<void(region_update, time_point)>;
    using snapshot_provider = std::function<std::string()>;
    using pool_grant_provider = std::function<pool_grant(const account_id&)>;

    fleet_exchange(fiber_runtime& runtime, fleet_membership& membership, event_log& log,
                   fleet_exchange_options options = {});

    void set_report_provider(report_provider provider) { m_report_provider = std::move(provider); }
    void on_host_report(host_report_handler handler) { m_on_host_report = std::move(handler); }
    void on_region_report(region_report_handler handler) { m_on_region_report = std::move(handler); }
    void set_region_update_provider(region_update_provider provider) { m_region_update_provider = std::move(provider); }
    void on_region_update(region_update_handler handler) { m_on_region_update = std::move(handler); }
    void set_snapshot_provider(snapshot_provider provider) { m_snapshot_provider = std::move(provider); }
    void set_pool_grant_provider(pool_grant_provider provider) { m_pool_grant_provider = std::move(provider); }

    /// Opens the listener. Errors: unavailable.
    result<void> open(const network_endpoint& listen, const std::string& fleet_secret);
    bool is_open() const noexcept { return m_bus != nullptr; }

    /// Sends a report or a request for a region update, and a region report if this host is its region's reporter. Does
    /// not wait for replies.
    void send_reports(time_point now);

    /// Whether this host is the reporter of its region. False in fleets without reporters.
    bool is_reporter(time_point now) const;

    /// Requests a snapshot from the peer that knows the store's history furthest, beyond the given position. Absent if
    /// there is no such peer or it does not reply.
    std::optional<std::string> request_snapshot(store_position known_position, time_point now);

    /// Requests rate tokens from the host that holds the account's pool. Absent if it does not reply.
    std::optional<pool_grant> request_tokens(const host_id& owner, const account_id& account);

    std::uint64_t bytes_transferred() const { return m_bus == nullptr ? 0 : m_bus->bytes_transferred(); }

private:
    std::string handle_message(std::string_view message);
    void handle_host_report(std::string_view text);
    void process_host_report(host_report report);
    std::string handle_region_update_request(std::string_view text);
    void request_region_update(const entry_host& reporter, const host_report& report, time_point now);
    void handle_region_report(std::string_view text);
    void record_reachable(const host_id& peer, bool is_reachable, std::string_view cause);
    std::set<host_id> unreachable_peers(time_point now) const;

    /// The region's reporter, chosen among the reachable hosts.
    std::optional<host_id> reporter_of(const region_id& region, time_point now) const;
    /// Asks a host of this region that would be its reporter but has timed out. If it replies, this host and those that
    /// follow it report to it from then on.
    void ask_timed_out_reporter(const host_report& report, time_point now);
    void send_region_report(const region_report& regional_report, time_point now);

    using reply_handler = std::function<void(std::string_view)>;

    /// Sends a message to a peer, unless an earlier message of the same stream still waits for its reply. The handler
    /// receives the reply.
    void send(const entry_host& peer, const std::string& stream, std::shared_ptr<const std::string> message,
              reply_handler on_reply = {});
    void record_round_trip(const region_id& region, duration taken);
    duration token_timeout(const region_id& region) const;
    std::optional<entry_host> find_peer(const host_id& name) const;
    std::optional<network_endpoint> endpoint_of(const host_id& name) const;

    fiber_runtime& m_runtime;
    fleet_membership& m_membership;
    event_log& m_log;
    fleet_exchange_options m_options;
    report_provider m_report_provider;
    host_report_handler m_on_host_report;
    region_report_handler m_on_region_report;
    region_update_provider m_region_update_provider;
    region_update_handler m_on_region_update;
    snapshot_provider m_snapshot_provider;
    pool_grant_provider m_pool_grant_provider;
    std::unique_ptr<peer_bus> m_bus;
    /// Peers that did not acknowledge their last message, with the time until which they are not chosen as reporters.
    std::map<host_id, time_point> m_unreachable;
    std::map<region_id, duration> m_round_trips; ///< Average time until a host of the region replies.
    std::set<std::string> m_pending_streams;     ///< Streams with a message that is not acknowledged yet.
    /// Objects that upstreams handled for hosts of this region since the last region report.
    std::vector<known_object> m_region_objects;
    incarnation m_object_source = 0; ///< Incarnation of the reporter that numbered the objects received so far.
    std::uint64_t m_next_object = 0;
};

} // namespace ragworthinge
