#pragma once

#include "base/time.h"
#include "escrow/holder_id.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace ragworthinge {

/// Why and how much a holder may spend.
enum class licence_mode {
    proven,      ///< The store showed within the lease duration that this holder is a member: everything.
    outage,      ///< No member of the region reaches the store, so nobody can have fenced this holder: everything.
    minimum_only ///< Neither is certain: only the minimum shares.
};

/// Lease duration S: a proof of membership is valid for this long, measured from the moment the poll was sent.
inline constexpr std::chrono::milliseconds default_lease_duration{2000};

/// Settings of a licence.
struct licence_options {
    holder_id self{};
    duration lease = default_lease_duration;
};

/// A member's answer to a poll by this holder.
struct peer_answer {
    holder_id peer{};
    time_point poll_sent{};              ///< When this holder sent the poll, on its own clock.
    std::optional<duration> proof_age{}; ///< The peer's `direct_proof_age`.
    /// The newest region page that the peer read lists this holder as a member and the peer sent no fence against it
    /// since then, not even one whose outcome it does not know.
    bool lists_this_holder = false;
};

/// Spending lease of one holder: decides whether it can prove that it is not fenced. A fence is written to the store
/// first; every proof ends at most one lease duration after the write, so a reclaim that waits longer is safe.
/// The mode `outage` requires that a host fences only members that acknowledged a region page listing that host;
/// otherwise a member could rely on the silence of a region whose newest member it does not know.
class licence {
public:
    explicit licence(licence_options options) : m_options(std::move(options)) {}

    /// The region page was read from the store with a poll sent at `poll_sent`. `members` are the holders that are on
    /// the page and not fenced.
    void page_read(std::int64_t page_revision, std::vector<holder_id> members, time_point poll_sent);

    /// A peer answered a poll.
    void peer_answered(const peer_answer& answer);

    /// Called by each event loop iteration. After a gap longer than the lease, evidence from before the gap is void.
    void iteration(time_point now);

    /// What may be spent now.
    [[nodiscard]] licence_mode mode(time_point now) const;

    /// Latest time at which the mode can be `proven` without further evidence.
    [[nodiscard]] std::optional<time_point> proven_until() const;

    /// Age of the last page read from the store, for the answers to peers; none if older than the lease. A proof that
    /// came from a peer is not passed on: it shows that this holder is a member and says nothing about the asking one.
    [[nodiscard]] std::optional<duration> direct_proof_age(time_point now) const;

    /// True once a page or a peer showed that this holder is fenced. It must resign and join as a new incarnation.
    [[nodiscard]] bool is_fenced() const { return m_fenced; }

    /// Revision of the newest region page read.
    [[nodiscard]] std::int64_t page_revision() const { return m_page_revision; }

private:
    struct peer_evidence {
        time_point poll_sent{};
        std::optional<time_point> store_contact{};
    };
    [[nodiscard]] bool is_recent(time_point evidence, time_point now) const;
    [[nodiscard]] bool region_is_cut_off(time_point now) const;
    void add_proof(time_point proven_at);

    licence_options m_options;
    std::int64_t m_page_revision = -1;
    std::vector<holder_id> m_members;
    std::map<holder_id, peer_evidence> m_peers;
    std::optional<time_point> m_page_read_at;
    std::optional<time_point> m_proven_at;
    std::optional<time_point> m_last_iteration;
    bool m_fenced = false;
};

} // namespace ragworthinge
