#pragma once

#include "base/time.h"
#include "escrow/ceiling_page.h"
#include "escrow/ledger.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

namespace ragworthinge {

/// Settings of a ceiling_exchange.
struct ceiling_exchange_options {
    page_writer writer{};
    /// A region keeps a burst of a few units so that each of its hosts can keep one.
    allocation_policy_options policy{
        .smallest_burst = 5 * one_unit, .reserve = 0.05, .hysteresis = 0.03, .idle_part = 0.005};
    double demand_change = 0.15;   ///< Relative change of a region's demand that is published.
    double smallest_demand = 0.03; ///< Part of the limit below which a change of demand is not published.
    /// Shortest time between two writes. All regions write the same page; without a pause the region next to the store
    /// makes every compare-and-swap of the others fail.
    duration write_interval = std::chrono::milliseconds{20};
    double smallest_move = 0.01; ///< Part of the limit below which no ceiling is moved.
};

/// Moves a region's ceilings between its ledger and the ceiling page: the ledger is lowered before the page, and raised
/// only after the store confirmed the page. A write with an unknown outcome is recognised by its change number when the
/// page is read again; until then the ledger keeps the lower value.
class ceiling_exchange {
public:
    ceiling_exchange(ceiling_exchange_options options, ledger& book)
        : m_options(std::move(options)), m_policy(m_options.policy), m_ledger(book) {}

    /// A page was read from the store, or a write of this exchange was confirmed; both may be given repeatedly.
    void page_read(const ceiling_page& page);

    /// The page to write, based on the newest page read; none if there is nothing to change or a write is in progress.
    std::optional<ceiling_page> next_write(time_point now);

    /// The write ended by success or conflict, or its outcome is unknown and the page was read again.
    void write_ended(bool succeeded);

    /// True if a newer allocator adopted the region; this one must stop.
    [[nodiscard]] bool is_superseded() const { return m_superseded; }

private:
    struct progress {
        units pending_release = 0; ///< Tokens of a lowering that the page does not show yet.
        units carried = 0;         ///< Carried total of the part up to which the ledger was told.
    };

    void take_ceilings(const ceiling_page& page);
    void propose_budget(const page_budget& item, time_point now);
    void propose_lowering(const page_budget& item, const amount& goal, time_point now);
    void keep(result<ceiling_page> changed);

    ceiling_exchange_options m_options;
    allocation_policy m_policy;
    ledger& m_ledger;
    std::optional<ceiling_page> m_page;
    std::optional<ceiling_page> m_next;
    std::size_t m_position = 0;
    std::uint64_t m_change = 0; ///< Number of the last write; numbers are never used twice in an epoch.
    bool m_adopted = false;
    bool m_writing = false;
    std::optional<time_point> m_next_write_at;
    bool m_superseded = false;
    std::map<budget_id, progress> m_progress;
};

} // namespace ragworthinge
