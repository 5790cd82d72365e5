#pragma once

#include "base/time.h"
#include "escrow/allocation_policy.h"
#include "escrow/escrow_messages.h"
#include "escrow/licence.h"
#include "escrow/protocol_rules.h"
#include "escrow/share.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace ragworthinge {

/// Settings of a ledger.
struct ledger_options {
    allocator_epoch epoch = 0;
    duration lease = default_lease_duration;
    duration longest_request = std::chrono::seconds{30}; ///< Extra wait before slots of a dead holder are reused.
    duration demand_lifetime = std::chrono::milliseconds{3000}; ///< A demand that is not repeated counts as none.
    allocation_policy_options policy{};
    protocol_rules rules{};
};

/// An entry of the region page.
struct ledger_member {
    holder_id holder{};
    bool fenced = false;
    double weight = 1;
};

/// Allocator's record of what each holder in the region may hold. Each host that takes over as allocator creates a new
/// one with the epoch of its takeover.
///
/// For each budget the sum of `granted` is at most the ceiling. `granted` is raised before an assignment is sent and
/// falls only when the holder confirmed the last assignment, was reclaimed after a fence, or left.
class ledger {
public:
    /// `members` is the region page as read after the epoch was written to the store; all of them are unknown.
    ledger(const ledger_options& options, const std::vector<ledger_member>& members, time_point now);

    /// Sets the ceiling to the value of a ceiling page that this allocator wrote. `minimum` is the largest minimum
    /// share that any allocator of this budget ever gave to one holder; `carried` are released tokens that came along
    /// with an increase.
    void set_ceiling(const budget_id& budget, const amount& ceiling, const amount& minimum, units carried = 0);

    /// Limits targets to this amount, so that the difference to the ceiling becomes free.
    void set_goal(const budget_id& budget, const amount& goal);

    /// Gives up ceiling as far as it is not granted, but not below `to`. Returns the tokens that go with it. The page
    /// may be lowered only afterwards.
    units lower_ceiling(const budget_id& budget, const amount& to, time_point now);

    /// Adds a holder that joined the region page after it was passed to the constructor. It read an epoch at least as
    /// high as this one after it joined, so it holds nothing from an earlier allocator.
    void add_member(const holder_id& holder, double weight = 1);

    /// The fence against a holder was confirmed by the store at the given time. Its shares are reclaimed after the
    /// wait; the minimum stays reserved. The transaction that writes a fence must also compare the allocator's epoch:
    /// a superseded allocator could otherwise fence and reclaim from a holder that reports to its successor.
    void fence_confirmed(const holder_id& holder, time_point at);

    /// Removes a holder whose process is proved to have ended, for example by the platform's list of hosts. Never call
    /// this because of a timeout.
    void forget(const holder_id& holder);

    /// Takes a report in; false if it is from an unknown holder or meant for another epoch.
    bool receive(const share_report& report, time_point now);

    /// Reclaims what is due and recomputes the targets of budgets whose inputs changed.
    void allocate(time_point now);

    /// The assignment to send to a holder now: a new one if its targets changed, the last one again if it is not
    /// confirmed, otherwise none.
    std::optional<share_assignment> assignment_for(const holder_id& holder);

    /// Holders whose targets changed since their last assignment.
    [[nodiscard]] std::vector<holder_id> holders_to_inform() const;

    /// Holders that neither reported nor were reclaimed.
    [[nodiscard]] std::vector<holder_id> unknown_holders() const;

    [[nodiscard]] allocator_epoch epoch() const { return m_options.epoch; }
    [[nodiscard]] amount ceiling(const budget_id& budget) const;
    [[nodiscard]] amount granted(const budget_id& budget) const;
    [[nodiscard]] units demand(const budget_id& budget, time_point now) const;
    [[nodiscard]] std::vector<budget_id> budgets() const;

private:
    enum class member_state {
        unknown,   ///< May hold anything that an earlier allocator gave out.
        joined,    ///< Holds nothing and did not report yet.
        active,    ///< Reported to this epoch.
        fenced,    ///< Fenced; its shares are not reclaimed yet.
        reclaimed, ///< Only the minimum stays reserved.
        gone       ///< Holds nothing and never will again.
    };

    struct member {
        holder_id holder{};
        member_state state = member_state::unknown;
        bool holdings_known = false;
        double weight = 1;
        assignment_version version = 0;   ///< Of the last assignment sent.
        assignment_version confirmed = 0; ///< Highest version that the holder reported as applied.
        bool has_changes = false;         ///< Targets changed since `version`.
        time_point reclaim_at{};
        time_point reclaim_slots_at{};
        bool slots_reclaimed = false;
        std::vector<std::size_t> unsettled{}; ///< Budgets whose granted size is above the target.
    };

    struct grant {
        amount target{};
        amount minimum{};
        amount granted{};         ///< Upper bound of what the holder holds.
        amount granted_minimum{}; ///< Upper bound of the minimum that it holds.
        units carried = 0;
        units in_flight = 0;            ///< Carried tokens on their way that the growth of the share does not cover.
        assignment_version version = 0; ///< Assignment in which the target last changed.
        units demand = 0;
        time_point demand_at{};
        units waiting = 0;
        units lent = 0; ///< Part of the target that was added for waiting requests, until `lent_until`.
        time_point lent_until{};
    };

    struct account {
        budget_id budget{};
        amount ceiling{};
        amount minimum{};
        std::optional<amount> goal{};
        amount confirmed{}; ///< What members of an earlier epoch reported to hold.
        /// The free part of the ceiling as a token bucket. Its tokens are carried to holders that grow.
        share pool{};
        std::size_t turn = 0;        ///< Which holder's waiting requests are served first.
        units returned = 0;          ///< Released tokens that the pool takes in when its size is next adapted.
        std::vector<grant> grants{}; ///< By member index.
        bool has_ceiling = false;    ///< Without one nothing may be inferred, so targets stay as they are.
        bool is_dirty = true;
    };

    account& account_of(const budget_id& budget);
    [[nodiscard]] const account* find_account(const budget_id& budget) const;
    member* find_member(const holder_id& holder);
    grant& grant_of(account& item, std::size_t member_index);
    void learn_holdings(std::size_t member_index, const share_report& report);
    void settle(std::size_t member_index, const share_report& report);
    void settle_in_flight(std::size_t member_index);
    void settle_grant(account& item, grant& granted, const held_share* reported);
    void take_demand(std::size_t member_index, const share_report& report, time_point now);
    void expire_demand(account& item, time_point now) const;
    void release_all(std::size_t member_index);
    void reclaim(std::size_t member_index, bool slots);
    void allocate_account(account& item, time_point now);
    void adapt_pool(account& item, time_point now);
    void serve_waiting(account& item, const std::vector<std::size_t>& receivers, time_point now);
    void set_targets(account& item, const std::vector<std::size_t>& receivers, const std::vector<amount>& wanted,
                     time_point now);
    void change_target(account& item, std::size_t member_index, const amount& target, units carried, time_point now);
    [[nodiscard]] amount granted_sum(const account& item) const;
    [[nodiscard]] amount assignable(const account& item) const;
    [[nodiscard]] bool has_unknown_part(bool slots) const;

    ledger_options m_options;
    allocation_policy m_policy;
    std::vector<member> m_members;
    std::map<holder_id, std::size_t> m_member_indexes;
    std::vector<account> m_accounts;
    std::unordered_map<budget_id, std::size_t> m_account_indexes;
};

} // namespace ragworthinge
