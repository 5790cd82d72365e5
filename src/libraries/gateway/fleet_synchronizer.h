#pragma once

#include "base/time.h"
#include "gateway/deployment_adapter.h"
#include "observability/event_log.h"
#include "steering/fleet_membership.h"
#include "steering/fleet_state.h"
#include "store/platform_store.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ragworthinge {

class fiber_runtime;

struct fleet_synchronizer_options {
    /// Pause between two polls for changes. Drains and configurations must take effect within 2 s of the store's
    /// response, one poll may be lost, and each poll is billed.
    duration poll_period = std::chrono::milliseconds(900);
    /// Pause between two polls at the reporter of a region, which polls the store for all hosts there. Those learn of a
    /// change up to 0.8 s later, with their next request to the reporter.
    duration reporter_period = std::chrono::milliseconds(200);
    /// A host that receives region updates polls the store itself when the last region update from a reporter in
    /// contact with the store is this old. In fleets with reporters changes must take effect within 3 s; two polls fit
    /// into that.
    duration max_region_update_age = std::chrono::milliseconds(1400);
    /// Time after which a watch without events ends: for a host on its own, and for a reporter. The reporter's is
    /// shorter, since its hosts must learn within the same bounds that the store does not respond to it.
    std::chrono::milliseconds watch_time{1500};
    std::chrono::milliseconds reporter_watch_time{700};
    /// A poll of the reporter that takes longer counts as unanswered: the time of a watch without events plus a slow
    /// response. The store takes at most 60 times its usual 4 ms.
    duration unanswered_poll_limit = std::chrono::milliseconds(1000);
    /// Interval at which a host that waits for region updates checks whether it must poll the store itself.
    duration check_period = std::chrono::milliseconds(100);
    /// Bytes of changes that are retained for other hosts, and that one region update may carry. Hosts read larger
    /// changes from the store. 64 kB for each of 65 hosts take 0.17 s on a link of 200 Mbit/s, which the strongest
    /// hosts have.
    std::size_t retained_change_bytes = 512 * 1024;
    std::size_t max_region_update_change_bytes = 64 * 1024;
    /// Pause after a failed poll.
    duration retry_period = std::chrono::milliseconds(300);
    /// After this time without a response from the store, a snapshot is requested from a peer.
    duration peer_snapshot_delay = std::chrono::milliseconds(1200);
    /// After a longer time without an answered poll, upstream entries that vanished count as lapsed (their leases
    /// expired) and not as removed. The duration of an answered poll does not count, since a watch waits for changes.
    duration outage_threshold = std::chrono::milliseconds(2200);
    /// Time after the store's recovery in which entries may still lapse. See `observed_upstream_options::lapse_grace`.
    /// After the store has come back from a copy, also the time in which operators and upstreams write again what the
    /// copy does not have.
    duration recovery_period = std::chrono::milliseconds(2000);
};

/// Keeps `fleet_state` and `fleet_membership` up to date with the store, or with snapshots of peers while the store
/// does not respond.
class fleet_synchronizer {
public:
    /// Requests a snapshot from a peer; absent if no peer knows the store's history beyond the given position.
    using peer_snapshot_request = std::function<std::optional<std::string>(store_position known)>;

    fleet_synchronizer(fiber_runtime& runtime, platform_store& store, const deployment_adapter& adapter,
                       fleet_state& fleet, fleet_membership& membership, event_log& log,
                       fleet_synchronizer_options options = {});

    void on_peer_snapshot_request(peer_snapshot_request request) { m_request_peer_snapshot = std::move(request); }

    /// Sets a handler that is called after changes were applied.
    void on_change(std::function<void()> handler) { m_on_change = std::move(handler); }

    /// Sets the function that tells whether this host is a reporter. It is called before each poll.
    void on_reporter_check(std::function<bool()> check) { m_is_reporter = std::move(check); }

    /// Whether the store responds to this host.
    bool follows_store(time_point now) const;

    /// Changes after the position, for a region update; absent if they are no longer known or too large.
    std::optional<std::vector<store_change>> changes_since(store_position position) const;

    /// Applies the store changes of a region update that was requested at `requested_at`.
    void apply_region_update(const region_update& update, time_point requested_at);

    /// Starts the fiber that watches the store.
    void start();

    /// Whether all entries were read at least once, from the store or from a peer.
    bool is_synchronized() const noexcept { return m_is_synchronized; }

    /// Position in the store's history up to which changes are known.
    store_position position() const noexcept { return m_position; }

    /// Time since the store's last response.
    duration contact_age(time_point now) const { return now - m_contact_at; }

    /// Serializes all known entries, for a peer that cannot reach the store.
    std::string snapshot() const;

private:
    struct known_entry {
        std::string value;
        store_position position;
    };

    void run_synchronization();
    duration time_to_next_poll(time_point now) const;
    void retain_change(const std::string& key, const std::optional<std::string>& value, store_position position);
    result<void> read_all_entries();
    result<void> read_changes();
    void request_peer_snapshot();
    result<void> apply_snapshot(std::string_view text);
    void replace_entries(const std::map<std::string, known_entry>& entries, store_position position,
                         std::string_view source);
    /// Keeps the entries that the store's copy does not have until the end of the recovery period.
    void begin_era(store_position position, std::string_view source);
    /// Removes the entries of earlier eras that were not written again.
    void drop_unwritten_entries();
    void apply_entry(const std::string& key, const std::optional<std::string>& value, store_position position,
                     std::string_view source);
    change_effect apply_change(const std::string& key, const fleet_change& change, store_position position,
                               std::string_view source);
    decoded_entry decode_entry(const std::string& key, const std::optional<std::string>& value) const;
    void record_contact(time_point requested_at);
    void record_failure(const error& cause);
    bool may_have_lapsed(time_point now) const {
        return m_recovered_at && now < *m_recovered_at + m_options.recovery_period;
    }

    fiber_runtime& m_runtime;
    platform_store& m_store;
    const deployment_adapter& m_adapter;
    fleet_state& m_fleet;
    fleet_membership& m_membership;
    event_log& m_log;
    fleet_synchronizer_options m_options;
    peer_snapshot_request m_request_peer_snapshot;
    std::function<void()> m_on_change;
    std::function<bool()> m_is_reporter;
    std::deque<store_change> m_changes; ///< In order of their positions, all of one era and after `m_changes_from`.
    store_position m_changes_from;
    std::size_t m_change_bytes = 0;
    std::optional<time_point> m_region_update_at; ///< When the last usable region update was requested.
    std::optional<time_point> m_poll_started_at;  ///< When the poll in progress was sent.
    std::map<std::string, known_entry> m_entries;
    store_position m_position;
    bool m_is_synchronized = false;
    bool m_has_contact = true;
    time_point m_contact_at;
    std::optional<time_point> m_recovered_at; ///< When the store responded again after an outage.
};

} // namespace ragworthinge
