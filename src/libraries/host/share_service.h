#pragma once

#include "base/result.h"
#include "escrow/ceiling_exchange.h"
#include "escrow/ledger.h"
#include "escrow/share_holder.h"
#include "host/control_messages.h"
#include "host/region_state.h"
#include "store/platform_store.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ragworthinge {

class fiber_runtime;

/// A fleet-wide budget with its limit from the configuration.
struct budget_limit {
    budget_id budget;
    amount limit;
    amount minimum; ///< Part of each holder that is never reclaimed by timeout.
};

/// Collaborators of a share_service; all outlive it.
struct share_service_options {
    fiber_runtime& runtime;
    platform_store& store;
    host_id host;
    region_id region;
    /// Sends a control message to another host of the region and waits for the reply.
    std::function<result<std::string>(const host_id&, const control_message&)> send;
    /// Position of this host among those that may take over as allocator; zero first.
    std::function<std::size_t()> takeover_rank;
    /// An event for the audit trail: "allocator_takeover", "fenced", "rejoined", "member_forgotten".
    std::function<void(const std::string& event, const std::string& detail)> on_event;
};

/// Holds this host's shares of fleet-wide budgets and, while this host is the region's allocator, the ledger.
///
/// All state changes go through the escrow core; this class moves its messages between hosts and the store.
class share_service {
public:
    explicit share_service(share_service_options options);
    share_service(const share_service&) = delete;
    share_service& operator=(const share_service&) = delete;
    ~share_service() = default;

    /// Starts to join the region's page. Call after the listeners are open, because an earlier run of this host counts
    /// as ended once this one listens on its addresses.
    void start();

    /// Budgets of the configuration in force, with the regions that share them and the longest time that an upstream
    /// may still run what a dead host sent.
    void configure(std::vector<budget_limit> limits, std::vector<region_id> regions, duration longest_request);

    /// Position of a budget; stays valid for the lifetime of the service.
    budget_index index_of(const budget_id& budget);

    bool spend(budget_index budget, units count, time_point now);
    void refund(budget_index budget, units count);
    void note_demand(budget_index budget, units count);
    void set_waiting(budget_index budget, units count);
    units available(budget_index budget, time_point now) const;
    amount held(budget_index budget) const;

    /// True once this host is on the region's page and may receive shares.
    bool joined() const noexcept { return m_holder != nullptr; }

    /// Spending lease; absent before the host joined.
    std::optional<licence_mode> mode(time_point now) const;

    /// Counts of refills and requests restart here after a rejoin; slots in use by earlier requests are forgotten.
    std::uint64_t generation() const noexcept { return m_generation; }

    const region_state& region() const noexcept { return m_view; }
    bool is_allocator() const noexcept { return m_book != nullptr; }
    allocator_epoch epoch() const noexcept { return m_known_epoch; }
    const holder_id& allocator() const noexcept { return m_allocator; }

    /// Called on each turn of the event loop that may spend, and at least every 20 ms.
    void tick(time_point now);

    /// Fills the parts of a reply to a peer's heartbeat that concern shares.
    void describe(heartbeat_reply& reply, const holder_id& asker, time_point now) const;

    /// Takes the evidence in a peer's reply to a heartbeat sent at `sent_at`.
    void take_reply(const heartbeat_reply& reply, time_point sent_at);

    share_exchange_reply answer(const share_exchange_request& request);
    void take_push(const share_push& push);

    /// Gives up all shares; slots in use must have been refunded. Blocks until the allocator knows or a short timeout.
    void resign();

    /// Run under which this host is on the page; zero before it joined.
    incarnation run() const noexcept { return m_holder ? m_holder->self().run : 0; }

private:
    void run_in_background(bool& busy, std::function<void()> body);
    result<void> join();
    void poll_region();
    void region_read(region_state state, time_point sent_at);
    void acknowledge_page();
    void learn_allocator(allocator_epoch epoch, const holder_id& allocator);
    void report();
    void apply(const share_assignment& assignment);
    void take_over();
    void run_allocator(time_point now);
    void inform_holders();
    void push(const share_assignment& assignment);
    void fence_silent(time_point now);
    void fence(const region_member& target);
    void forget_ended(time_point now);
    void read_ceilings();
    void ceilings_read(const ceiling_page& page, std::int64_t mod_revision);
    void write_ceilings(time_point now);
    ceiling_page with_configured_limits(ceiling_page page) const;
    void stop_allocating();
    void leave_page();

    share_service_options m_options;
    std::unique_ptr<share_holder> m_holder;
    std::unique_ptr<ledger> m_book;
    std::unique_ptr<ceiling_exchange> m_exchange;
    std::vector<budget_id> m_budgets;
    std::map<budget_id, budget_index> m_indexes;
    std::vector<budget_limit> m_limits;
    std::vector<region_id> m_regions;
    duration m_longest_request = std::chrono::seconds(30); ///< Until a configuration is known.

    region_state m_view;
    std::int64_t m_acknowledged = 0;
    allocator_epoch m_known_epoch = 0;
    holder_id m_allocator;
    time_point m_allocator_heard;
    std::map<holder_id, time_point> m_heard;
    std::set<holder_id> m_fencing;
    std::map<holder_id, time_point> m_ended_since;
    std::uint64_t m_generation = 0;

    std::optional<ceiling_page> m_ceilings;
    std::int64_t m_ceilings_mod_revision = 0;
    std::optional<std::int64_t> m_limits_checked_at; ///< Page revision that has the limits of the configuration.

    time_point m_next_poll;
    time_point m_next_report;
    time_point m_last_report;
    bool m_polling = false;
    bool m_reporting = false;
    bool m_taking_over = false;
    bool m_fence_under_way = false;
    bool m_writing_ceilings = false;
    bool m_reading_ceilings = false;
    bool m_acknowledging = false;
    bool m_resigned = false;
};

} // namespace ragworthinge
