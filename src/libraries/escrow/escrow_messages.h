#pragma once

#include "escrow/amount.h"
#include "escrow/budget_id.h"
#include "escrow/holder_id.h"

#include <cstdint>
#include <vector>

namespace ragworthinge {

/// Term of a region's allocator; grows by one with each takeover.
using allocator_epoch = std::uint64_t;

/// Number of an assignment to one holder within an epoch; zero means that none was applied.
using assignment_version = std::uint64_t;

/// Part of a report about one share.
struct held_share {
    budget_id budget{};
    amount held{};      ///< Including the minimum; for slots at least what is in use.
    amount minimum{};   ///< Spendable without a licence.
    units released = 0; ///< Tokens given up by lowerings that the allocator may not have counted yet.

    friend bool operator==(const held_share&, const held_share&) = default;
};

/// Part of a report about one budget's demand.
struct budget_demand {
    budget_id budget{};
    units rate = 0;    ///< Units per second that callers asked for; for slots the number wanted at once.
    units waiting = 0; ///< Units that requests wait for now.

    friend bool operator==(const budget_demand&, const budget_demand&) = default;
};

/// Sent by a holder to the allocator every 200 ms, and earlier after an assignment or when tokens run short.
struct share_report {
    holder_id holder{};
    allocator_epoch epoch = 0;
    assignment_version applied_version = 0;
    bool complete = false; ///< `held` lists every share; otherwise a share that is left out equals its assignment.
    bool leaving = false;  ///< The holder gave up everything and will apply no further assignment.
    std::vector<held_share> held{};      ///< Shares that differ from their assignment or released tokens.
    std::vector<budget_demand> demand{}; ///< Demands that changed or were not sent for a second.

    friend bool operator==(const share_report&, const share_report&) = default;
};

/// Part of an assignment: the absolute size of one share.
struct assigned_share {
    budget_id budget{};
    amount target{};   ///< Including the minimum.
    amount minimum{};  ///< Spendable without a licence.
    units carried = 0; ///< Sum of all released tokens passed to this share in this epoch.

    friend bool operator==(const assigned_share&, const assigned_share&) = default;
};

/// The allocator's answer. It lists every share changed after `base_version`, so a holder that applied at least that
/// version misses nothing.
struct share_assignment {
    holder_id holder{};
    allocator_epoch epoch = 0;
    assignment_version base_version = 0;
    assignment_version version = 0;
    std::vector<assigned_share> shares{};

    friend bool operator==(const share_assignment&, const share_assignment&) = default;
};

} // namespace ragworthinge
