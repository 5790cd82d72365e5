#pragma once

#include "base/store_position.h"
#include "base/time.h"
#include "steering/fleet_change.h"
#include "steering/observed_upstream.h"
#include "steering/steering_table.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ragworthinge {

struct fleet_state_options {
    std::map<failure_domain_id, region_id> regions; ///< Region of each failure domain.
    observed_upstream_options upstreams;
    /// Time within which an earlier announcement of an upstream may follow a later one, because the store executed a
    /// write whose response was lost some seconds late. After it, the upstream's own statements about the order are not
    /// trusted: its clock may have been set back, or another writer may have left a wrong number.
    duration late_write_time = std::chrono::seconds(30);
    /// Time for which it is known of an upstream without an entry that it leaves or wants no requests. Upstreams that
    /// leave serve on for seconds.
    duration request_ban_memory = std::chrono::minutes(10);
};

/// Effect of a change, for the log.
enum class change_effect {
    applied,
    unchanged,
    outdated ///< Older than the current version; ignored.
};

/// This host's view of the data that the fleet shares through the store: configuration, upstreams, hosts and
/// evacuations. The configuration version never decreases, whatever a stale read or a peer provides. An upstream's
/// announcement never replaces a later one of the same upstream: the store may execute a write late, and the state that
/// it announces, such as ready before draining, is then outdated.
class fleet_state {
public:
    explicit fleet_state(fleet_state_options options) : m_options(std::move(options)) {}

    change_effect apply(const fleet_change& change, time_point now);

    /// Records that all changes up to the position are known as of this time, from the store or from a peer.
    void confirm(store_position position, time_point now) noexcept;

    /// Position in the store's history up to which changes are known, and the time since it was confirmed.
    store_position position() const noexcept { return m_position; }
    duration age(time_point now) const noexcept { return now - m_confirmed_at; }

    /// Marks an upstream whose entry disappeared during a store outage, possibly without having been removed.
    void mark_lapsed(const upstream_id& id, time_point return_time);

    /// Removes the upstreams whose grace period has passed and returns their ids. Forgets the announcements of
    /// upstreams that were withdrawn longer ago than a late write can take.
    std::vector<upstream_id> drop_expired(time_point now);

    /// Null until a configuration is known.
    const std::shared_ptr<const steering_table>& table() const noexcept { return m_table; }

    std::map<upstream_id, std::shared_ptr<observed_upstream>>& upstreams() noexcept { return m_upstreams; }
    const std::map<upstream_id, std::shared_ptr<observed_upstream>>& upstreams() const noexcept { return m_upstreams; }

    std::shared_ptr<observed_upstream> find_upstream(const upstream_id& id) const;

    /// Returns the upstreams of a service whose failure domain is not evacuated, ordered by id.
    std::vector<std::shared_ptr<observed_upstream>> upstreams_of(const service_id& service) const;

    bool is_evacuated(const failure_domain_id& domain) const { return m_evacuated.contains(domain); }

    const std::map<host_id, entry_host>& hosts() const noexcept { return m_hosts; }

private:
    change_effect apply_one(const upstream_announced& change, time_point now);
    change_effect apply_one(const upstream_withdrawn& change, time_point now);
    change_effect apply_one(const host_announced& change, time_point now);
    change_effect apply_one(const host_withdrawn& change, time_point now);
    change_effect apply_one(const evacuation_changed& change, time_point now);
    change_effect apply_one(const configuration_submitted& change, time_point now);

    /// The last announcement of an upstream that was applied. Kept for `late_write_time` after its entry was removed.
    struct last_announcement {
        std::int64_t started_at = 0;
        std::int64_t sequence = 0;
        time_point changed_at; ///< When it, or the removal of its entry, was applied.
        bool is_withdrawn = false;
        bool is_leaving = false; ///< The upstream said so itself before its entry was removed.
        time_point quiet_until;
    };

    region_id region_of(const failure_domain_id& domain) const;
    bool is_outdated(const upstream_description& description, time_point now) const;
    void restore_request_ban(observed_upstream& upstream) const;
    void record_announcement(const upstream_description& description, time_point now);
    void record_withdrawal(const upstream_id& id, time_point now);

    fleet_state_options m_options;
    store_position m_position;
    time_point m_confirmed_at;
    std::shared_ptr<const steering_table> m_table;
    std::map<upstream_id, std::shared_ptr<observed_upstream>> m_upstreams;
    std::map<upstream_id, last_announcement> m_announcements;
    std::map<host_id, entry_host> m_hosts;
    std::set<failure_domain_id> m_evacuated;
};

} // namespace ragworthinge
