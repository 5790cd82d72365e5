#pragma once

#include "base/time.h"
#include "gateway/deployment.h"
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

struct fleet_follower_options {
    /// Pause between two questions for changes. Source: drains and configurations bind within 2 s of the store's
    /// answer, one question may be lost, and each is priced.
    duration poll_period = std::chrono::milliseconds(900);
    /// The same at the reporter of a region, which follows the store for all hosts there: their questions to it take up
    /// to 0.8 s more.
    duration reporter_period = std::chrono::milliseconds(200);
    /// A host that the reporter answers asks the store itself when the last bulletin from a reporter that follows the
    /// store is this old. Source: changes bind within 3 s in fleets with reporters; two questions fit in.
    duration bulletin_limit = std::chrono::milliseconds(1400);
    /// Time after which a quiet watch ends: of a host on its own, and of a reporter, whose hosts must learn within the
    /// same bounds that the store does not answer it.
    std::chrono::milliseconds watch_time{1500};
    std::chrono::milliseconds reporter_watch_time{700};
    /// A question of the reporter that the store leaves open for longer counts as unanswered: the time of a quiet watch
    /// and a slow answer. Source: the store is at most 60 times slower than its usual 4 ms.
    duration silent_question_limit = std::chrono::milliseconds(1000);
    /// A host that waits for a bulletin looks this often whether it has to ask the store.
    duration check_period = std::chrono::milliseconds(100);
    /// Bytes of changes that are kept for other hosts, and that go with one bulletin. What is larger is read from the
    /// store. Source: 64 kB for each of 65 hosts take 0.17 s on a link of 200 Mbit/s, which the strongest hosts have.
    std::size_t kept_change_bytes = 512 * 1024;
    std::size_t bulletin_bytes = 64 * 1024;
    /// Pause after a failed question.
    duration retry_period = std::chrono::milliseconds(300);
    /// Without an answer for this long, changes are taken from peers.
    duration peer_limit = std::chrono::milliseconds(1200);
    /// After a longer time without an answered question, upstream entries that vanished count as lapsed and not as
    /// removed. The time of a question that is answered does not count: a watch waits for changes.
    duration away_limit = std::chrono::milliseconds(2200);
    /// Time after the store's return in which entries may still lapse. See `observed_upstream_options::lapse_grace`.
    duration return_time = std::chrono::milliseconds(2000);
};

/// Keeps `fleet_state` and `fleet_membership` up to date with the store, and with peers while the store does not
/// answer.
class fleet_follower {
public:
    /// Asks a peer for its snapshot; absent if none knows more than the given revision.
    using peer_question = std::function<std::optional<std::string>(std::int64_t revision)>;

    fleet_follower(fiber_runtime& runtime, platform_store& store, const deployment& translator, fleet_state& fleet,
                   fleet_membership& membership, event_log& log, fleet_follower_options options = {});

    void on_peer_question(peer_question question) { m_ask_peer = std::move(question); }

    /// Called after changes were applied.
    void on_change(std::function<void()> handler) { m_on_change = std::move(handler); }

    /// Whether this host follows the store for others. Asked before each question.
    void on_reporter_check(std::function<bool()> check) { m_is_reporter = std::move(check); }

    /// Whether the store answers this host.
    bool follows_store(time_point now) const;

    /// Changes above the revision, for a bulletin; absent if they are not known or too many bytes.
    std::optional<std::vector<store_change>> changes_since(std::int64_t revision) const;

    /// Takes what the reporter knows of the store, by a question that was sent at `asked_at`.
    void take_bulletin(const region_bulletin& bulletin, time_point asked_at);

    /// Starts the fiber that follows the store.
    void start();

    /// Whether everything was read once, from the store or a peer.
    bool is_synchronized() const noexcept { return m_is_synchronized; }

    /// Store revision up to which changes are known.
    std::int64_t revision() const noexcept { return m_revision; }

    /// Time since the store last answered.
    duration contact_age(time_point now) const { return now - m_contact_at; }

    /// All known entries, for a peer that cannot reach the store.
    std::string snapshot() const;

private:
    struct known_entry {
        std::string value;
        std::int64_t revision = 0;
    };

    void follow();
    duration time_to_question(time_point now) const;
    void keep_change(const std::string& key, const std::optional<std::string>& value, std::int64_t revision);
    result<void> read_everything();
    result<void> read_changes();
    void ask_peer();
    result<void> apply_snapshot(std::string_view text);
    void replace_entries(const std::map<std::string, known_entry>& entries, std::int64_t revision,
                         std::string_view source);
    void apply_entry(const std::string& key, const std::optional<std::string>& value, std::int64_t revision,
                     std::string_view source);
    void apply_change(const std::string& key, const fleet_change& change, std::int64_t revision,
                      std::string_view source);
    entry_translation translate(const std::string& key, const std::optional<std::string>& value) const;
    void record_contact(time_point asked_at);
    void record_failure(const error& cause);
    bool may_have_lapsed(time_point now) const { return m_returned_at && now < *m_returned_at + m_options.return_time; }

    fiber_runtime& m_runtime;
    platform_store& m_store;
    const deployment& m_translator;
    fleet_state& m_fleet;
    fleet_membership& m_membership;
    event_log& m_log;
    fleet_follower_options m_options;
    peer_question m_ask_peer;
    std::function<void()> m_on_change;
    std::function<bool()> m_is_reporter;
    std::deque<store_change> m_changes; ///< In order; all above `m_changes_from`.
    std::int64_t m_changes_from = 0;
    std::size_t m_change_bytes = 0;
    std::optional<time_point> m_bulletin_at; ///< When the question for the last usable bulletin was sent.
    std::optional<time_point> m_question_at; ///< While a question to the store is open.
    std::map<std::string, known_entry> m_entries;
    std::int64_t m_revision = 0;
    bool m_is_synchronized = false;
    bool m_has_contact = true;
    time_point m_contact_at;
    std::optional<time_point> m_returned_at; ///< When the store answered again after it had been away.
};

} // namespace ragworthinge
