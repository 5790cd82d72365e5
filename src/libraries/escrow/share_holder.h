#pragma once

#include "base/time.h"
#include "escrow/escrow_messages.h"
#include "escrow/licence.h"
#include "escrow/protocol_rules.h"
#include "escrow/share.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace ragworthinge {

/// Position of a budget in a share_holder; stays valid for the lifetime of the holder.
using budget_index = std::size_t;

/// Settings of a share_holder.
struct share_holder_options {
    holder_id self{};
    /// Epoch read from the store after this holder was written to the region page. A takeover that did not see this
    /// holder on the page has at most this epoch, so older allocators cannot give it anything.
    allocator_epoch minimum_epoch = 0;
    duration lease = default_lease_duration;
    duration demand_window = std::chrono::milliseconds{400};  ///< Shortest smoothing time of the demand estimate.
    duration demand_repeat = std::chrono::milliseconds{1000}; ///< An unchanged demand is sent again after this time.
    protocol_rules rules{};
};

/// All shares of one host. The only place that spends from fleet-wide budgets.
///
/// Every share consists of a minimum part, which may always be spent because it is never reclaimed by timeout, and a
/// licensed part. Both are token buckets, and their sum is the size that the allocator granted.
class share_holder {
public:
    explicit share_holder(share_holder_options options);

    /// Index of a budget; creates an empty share if there is none yet.
    budget_index index_of(const budget_id& budget);

    /// Called by each event loop iteration before anything is spent.
    void iteration(time_point now);

    /// Evidence for the spending lease goes in here.
    licence& spending_lease() { return m_licence; }
    [[nodiscard]] const licence& spending_lease() const { return m_licence; }

    /// Records what callers ask for, once per request, whether or not it can be spent at once.
    void note_demand(budget_index budget, units count) { m_entries[budget].asked += count; }

    /// Records how many units wait for this budget.
    void set_waiting(budget_index budget, units count);

    /// Takes units for a dispatch; false, with no effect, if the share does not allow it.
    [[nodiscard]] bool spend(budget_index budget, units count, time_point now);

    /// Returns slots after completion.
    void refund(budget_index budget, units count);

    /// True if a share ran short because demand exceeds what was reported.
    [[nodiscard]] bool runs_short() const { return m_runs_short; }

    /// True if an applied assignment lowered a share. Others wait for the confirmation, so it should be sent at once.
    [[nodiscard]] bool has_lowered() const { return m_has_lowered; }

    /// The report to the allocator.
    [[nodiscard]] share_report report(time_point now);

    /// Applies an assignment; false if it was ignored because it is old, for another holder, or has a gap before it.
    bool apply(const share_assignment& assignment, time_point now);

    /// Turns to the allocator of a newer epoch. Older ones are ignored from now on.
    void adopt_epoch(allocator_epoch epoch);

    /// Gives up everything. The returned report may be repeated; it lets the allocator reuse the shares at once. Slots
    /// in use must have been refunded before.
    [[nodiscard]] share_report resign();

    [[nodiscard]] const holder_id& self() const { return m_options.self; }
    [[nodiscard]] allocator_epoch epoch() const { return m_epoch; }
    [[nodiscard]] assignment_version applied_version() const { return m_applied_version; }

    /// Size of a share including its minimum.
    [[nodiscard]] amount held(budget_index budget) const;

    /// Size of the part of a share that may be spent under the present licence.
    [[nodiscard]] amount spendable_size(budget_index budget, time_point now) const;

    /// Units that can be spent now under the present licence.
    [[nodiscard]] units available(budget_index budget, time_point now) const;

private:
    struct entry {
        budget_id budget{};
        share minimum;
        share licensed;
        units carried = 0;                       ///< Total of the carried units applied in this epoch.
        units released = 0;                      ///< Tokens released and not certainly counted by the allocator.
        assignment_version released_version = 0; ///< Version of the last assignment that released tokens.
        units asked = 0;                         ///< Since the last report.
        units waiting = 0;
        double recent_demand = 0;  ///< Units per second, smoothed over the shortest window.
        double demand = 0;         ///< Units per second, smoothed over as many arrivals as make it steady.
        units refused = 0;         ///< By failed spends since the last report.
        bool sent_waiting = false; ///< The allocator knows of requests that wait, and they still do.
        units sent_demand = 0;
        time_point demand_sent_at{};
    };

    void apply_share(const assigned_share& assigned, const share_assignment& assignment, time_point now);
    [[nodiscard]] bool is_licensed(time_point now) const;
    void note_shortage(entry& item, units count, time_point now);
    void update_demand(entry& item, duration elapsed) const;
    void add_demand(entry& item, time_point now, share_report& report) const;
    [[nodiscard]] bool must_report_held(const entry& item) const;

    share_holder_options m_options;
    licence m_licence;
    allocator_epoch m_epoch;
    assignment_version m_applied_version = 0;
    bool m_resigned = false;
    bool m_runs_short = false;
    bool m_has_lowered = false;
    std::optional<time_point> m_demand_since; ///< Start of the interval in which `asked` is counted.
    std::vector<entry> m_entries;
    std::unordered_map<budget_id, budget_index> m_indexes;
};

} // namespace ragworthinge
