#pragma once

#include "base/identifiers.h"
#include "base/time.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace ragworthinge {

/// Result of the freshness check; keyed requests are served unless it is `stale`.
enum class freshness {
    proven,       ///< The keys in force matched the store's at some instant within the limit.
    store_outage, ///< No host of the store's region reaches the store, so no key can be revoked.
    stale         ///< This host may have missed a revocation.
};

/// A peer's report of its own contact with the store.
struct peer_store_report {
    host_id host;
    time_point poll_sent_at;           ///< Time at which this host sent the poll, on this host's clock.
    std::optional<duration> proof_age; ///< Age of the peer's freshness proof; absent if it has none.
    configuration_revision revision =
        0; ///< Revision of the peer's proof, or without a proof the revision in force there.
};

/// Options of `key_freshness`.
struct key_freshness_options {
    /// Maximum age of a proof. Together with the time to respond it stays below 5 s, the longest time for which a
    /// revoked key may still work.
    duration max_proof_age = std::chrono::seconds(4);
    /// Maximum age at which a report is taken as its sender's current state. Heartbeats between regions arrive every
    /// 500 ms.
    duration recent_report_age = std::chrono::milliseconds(800);
};

/// Decides whether the key table is recent enough to serve requests that carry a key.
///
/// A freshness proof states that at some instant the store's current revision was at most r. It counts only once
/// revision r is in force on this host, because store contact alone does not show that a revocation has arrived.
class key_freshness {
public:
    explicit key_freshness(key_freshness_options options = {}) : m_options(options) {}

    /// Sets the members of the store's region other than this host. The caller omits members known to have left.
    void set_store_region_members(std::vector<host_id> members);

    /// Sets the revision that this host applies to requests from now on.
    void set_revision_in_force(configuration_revision revision);

    /// Records that the store answered a poll sent at `sent_at` with its current revision.
    void observe_store_answer(time_point sent_at, configuration_revision revision);

    void observe_peer(const peer_store_report& report);

    freshness evaluate(time_point now) const;

    bool may_serve_keyed(time_point now) const { return evaluate(now) != freshness::stale; }

private:
    struct freshness_proof {
        time_point at;
        configuration_revision revision = 0;
    };

    void accept_proof(freshness_proof candidate);
    bool is_store_outage(time_point now) const;

    key_freshness_options m_options;
    configuration_revision m_revision_in_force = 0;
    std::optional<time_point> m_latest_proof_at;
    std::optional<freshness_proof> m_pending_proof; ///< Latest proof of a revision not yet in force.
    std::vector<host_id> m_store_region_members;
    std::unordered_map<host_id, peer_store_report> m_reports; ///< Latest report of each member of the store's region.
};

} // namespace ragworthinge
