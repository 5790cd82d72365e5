#pragma once

#include "net/peer_bus.h"
#include "observability/event_log.h"
#include "steering/account_limiter.h"
#include "steering/fleet_membership.h"
#include "steering/fleet_report.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace ragworthinge {

class fiber_runtime;

struct fleet_exchange_options {
    /// Time for a peer to acknowledge a report; shorter than the report period, so that reports do not pile up.
    duration report_timeout = std::chrono::milliseconds(450);
    duration snapshot_timeout = std::chrono::milliseconds(800);
    /// Time for tokens of a pool: five round trips between the farthest regions. The caller waits meanwhile.
    duration token_timeout = std::chrono::milliseconds(200);
};

/// Sends this host's reports and takes those of others. In a small fleet they go to all others. In a larger one they go
/// to the hosts of the own region; its reporter adds them up for the reporters of the other regions, and those pass the
/// digest on to their hosts.
/// FIXME: Within a region the mesh is still full: 122 hosts of a region send each other 153 messages a second and host.
class fleet_exchange {
public:
    using report_source = std::function<fleet_report()>;
    using report_handler = std::function<void(fleet_report)>;
    using digest_handler = std::function<void(region_digest)>;
    using snapshot_source = std::function<std::string()>;
    using pool_source = std::function<pool_answer(const account_id&)>;

    fleet_exchange(fiber_runtime& runtime, fleet_membership& membership, event_log& log,
                   fleet_exchange_options options = {});

    void on_report_wanted(report_source source) { m_make_report = std::move(source); }
    void on_report(report_handler handler) { m_on_report = std::move(handler); }
    void on_digest(digest_handler handler) { m_on_digest = std::move(handler); }
    void on_snapshot_wanted(snapshot_source source) { m_make_snapshot = std::move(source); }
    void on_tokens_wanted(pool_source source) { m_grant_tokens = std::move(source); }

    /// Opens the listener. Errors: unavailable.
    result<void> open(const network_endpoint& listen, const std::string& fleet_secret);
    bool is_open() const noexcept { return m_bus != nullptr; }

    /// Sends a report, and a digest if this host is its region's reporter, without waiting for acknowledgements.
    void send_reports(time_point now);

    /// A snapshot of the peer whose reports name the highest store revision above the given one.
    std::optional<std::string> ask_for_snapshot(std::int64_t known_revision, time_point now);

    /// Asks the host that keeps the account's pool for tokens. Nothing if it does not answer.
    std::optional<pool_answer> ask_for_tokens(const host_id& keeper, const account_id& account);

    std::uint64_t bytes_transferred() const { return m_bus == nullptr ? 0 : m_bus->bytes_transferred(); }

private:
    std::string answer(std::string_view message);
    void take_report(std::string_view text);
    void take_digest(std::string_view text, bool is_forwarded);
    void send_digest(const region_digest& digest, time_point now);

    /// Sends to a peer, unless an earlier message of the same stream waits for its acknowledgement.
    void send(const entry_host& peer, const std::string& stream, std::shared_ptr<const std::string> message);
    std::optional<entry_host> find_peer(const host_id& name) const;
    std::optional<network_endpoint> endpoint_of(const host_id& name) const;

    fiber_runtime& m_runtime;
    fleet_membership& m_membership;
    event_log& m_log;
    fleet_exchange_options m_options;
    report_source m_make_report;
    report_handler m_on_report;
    digest_handler m_on_digest;
    snapshot_source m_make_snapshot;
    pool_source m_grant_tokens;
    std::unique_ptr<peer_bus> m_bus;
    std::set<host_id> m_unreachable;   ///< Peers whose last report was not acknowledged.
    std::set<std::string> m_under_way; ///< Streams to peers with a message that is not acknowledged yet.
    /// What hosts of this region taught upstreams since the last digest.
    std::vector<known_object> m_region_objects;
};

} // namespace ragworthinge
