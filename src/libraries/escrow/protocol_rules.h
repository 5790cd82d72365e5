#pragma once

namespace ragworthinge {

/// Safety rules of the escrow protocol. All of them hold in production; a safety test disables one to show that its
/// schedule over-admits without it.
struct protocol_rules {
    bool raise_starts_empty = true;      ///< A raised share gets tokens only by refill or carried with the transfer.
    bool carry_once = true;              ///< Released tokens are counted once, even if messages are repeated.
    bool lower_needs_version = true;     ///< `granted` falls only after the last assignment was confirmed.
    bool spending_needs_licence = true;  ///< Only the minimum is spent without a licence.
    bool ignore_older_epochs = true;     ///< A holder ignores every allocator but the newest that it reported to.
    bool ignore_older_versions = true;   ///< A holder ignores repeated and overtaken assignments.
    bool wait_after_fence = true;        ///< Reclaiming waits until every earlier proof has expired.
    bool wait_for_slots = true;          ///< Reclaiming slots also waits for the longest request deadline.
    bool unknown_members_block = true;   ///< A new allocator gives out nothing that an unknown member may hold.
    bool keep_fenced_minimum = true;     ///< A fenced holder's minimum stays reserved.
    bool keep_slots_in_use = true;       ///< A lowered slot share reports what is still in use.
    bool lower_ceiling_when_free = true; ///< A region gives back only what no holder was granted.
};

} // namespace ragworthinge
