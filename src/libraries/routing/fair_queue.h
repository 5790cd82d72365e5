#pragma once

#include "base/identifiers.h"
#include "base/time.h"
#include "routing/queue_entry.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace ragworthinge {

struct fair_queue_options {
    std::size_t total_limit = 1000; ///< Maximum number of queued entries of all client accounts.
    /// Fraction of the total limit that one client account may use, so that entries of others fit without displacement.
    double max_account_fraction = 0.75;
    /// Maximum number of rounds for which an account accumulates unused deficit. Without it, an account that sends
    /// bursts within its share loses the service that it did not use between bursts and misses deadlines during them.
    /// Next to an account at 8 times its rate, the worst-served account got 0.966 of its max-min share with 1 round,
    /// 0.972 with 4 and 0.980 with 16 and 64.
    double max_credit_rounds = 16;
};

/// Weight of a client account.
struct account_weight {
    account_id account;
    double weight = 1;
};

/// An entry that was removed from the queue without being dispatched.
struct refused_entry {
    queue_entry entry;
    refusal_reason reason = refusal_reason::queue_full;
};

/// Queue of one service: deficit round robin between client accounts, earliest deadline first within an account.
///
/// In each round, the deficit of a queued account grows by its weight relative to the smallest weight. Within a round,
/// accounts are served one entry at a time, so that an account with a small weight never waits for a whole burst of a
/// large one. All operations take constant or logarithmic time in the number of queued entries and of accounts.
class fair_queue {
public:
    explicit fair_queue(fair_queue_options options = {});

    void set_total_limit(std::size_t limit) noexcept { m_options.total_limit = limit; }

    /// Replaces the weights. Weights that are not positive are ignored; accounts without a weight get the smallest one.
    void set_weights(std::span<const account_weight> weights);

    /// Adds an entry; its ticket must not be queued. If a limit is exceeded, removes and returns an entry, which may be
    /// the new one. At the account limit it is the account's newest entry, and at the total limit it is the newest
    /// entry of the account furthest above its fair share.
    std::optional<refused_entry> push(queue_entry entry);

    /// Returns the next entry, or nullptr if every account is idle or suspended. Valid until the queue changes.
    const queue_entry* front();

    /// Removes the entry that `front` returned and charges its account's deficit.
    queue_entry pop_front();

    /// Excludes the account from scheduling until `resume` is called at or after the given time. Its entries stay
    /// queued.
    void suspend(const account_id& account, time_point until);

    /// Schedules accounts again whose suspension has ended.
    void resume(time_point now);

    /// Removes a queued entry. Returns false if the ticket is not queued.
    bool cancel(request_ticket ticket);

    /// Removes and returns the entries whose deadline is earlier than the given time.
    std::vector<queue_entry> remove_missed(time_point earliest_response);

    /// Removes and returns the account's entries that were enqueued at or before the given time, oldest first.
    std::vector<queue_entry> remove_enqueued_by(const account_id& account, time_point enqueued_by);

    /// Removes and returns all entries.
    std::vector<queue_entry> remove_all();

    /// Accounts that are currently suspended.
    std::vector<account_id> suspended_accounts() const;

    std::size_t size() const noexcept { return m_locations.size(); }
    bool empty() const noexcept { return m_locations.empty(); }
    std::size_t size_of(const account_id& account) const;

private:
    using sequence_number = std::uint64_t;

    /// Scheduling state of an account.
    enum class account_state { idle, current_round, next_round, suspended };

    struct account_queue {
        account_id account;
        std::uint64_t ordinal = 0; ///< Breaks ties deterministically.
        double weight = 1;
        double deficit = 0;
        std::uint64_t round = 0; ///< Round in which the deficit was last increased.
        account_state state = account_state::idle;
        std::list<account_queue*>::iterator position;
        time_point suspended_until;
        std::map<sequence_number, queue_entry> entries; ///< Entries in order of arrival.
        std::set<std::pair<time_point, sequence_number>> by_deadline;
    };

    struct location {
        account_queue* account = nullptr;
        sequence_number sequence = 0;
    };

    /// Orders accounts by how far they are above their fair share.
    struct excess_key {
        double excess = 0;
        std::uint64_t ordinal = 0;
        account_queue* account = nullptr;
        bool operator<(const excess_key& other) const noexcept {
            return excess != other.excess ? excess < other.excess : ordinal < other.ordinal;
        }
    };

    static excess_key excess_of(account_queue& account) noexcept;
    account_queue& account_for(const account_id& account);
    std::size_t account_limit() const noexcept;
    void insert(account_queue& account, queue_entry entry);
    queue_entry remove(account_queue& account, sequence_number sequence);
    queue_entry remove_newest(account_queue& account);
    void add_to_current_round(account_queue& account);
    void remove_from_rounds(account_queue& account);
    void start_round_if_needed();

    fair_queue_options m_options;
    std::unordered_map<account_id, std::unique_ptr<account_queue>> m_accounts;
    std::unordered_map<request_ticket, location> m_locations;
    std::set<std::pair<time_point, request_ticket>> m_by_deadline;
    std::set<excess_key> m_by_excess;
    std::set<std::pair<time_point, account_id>> m_suspended;
    std::list<account_queue*> m_current_round;
    std::list<account_queue*> m_next_round;
    std::uint64_t m_round = 1;
    double m_smallest_weight = 1;
    std::uint64_t m_next_ordinal = 0;
    sequence_number m_next_sequence = 0;
    std::unordered_map<account_id, double> m_weights;
};

} // namespace ragworthinge
