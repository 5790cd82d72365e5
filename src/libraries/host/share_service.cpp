#include "host/share_service.h"

#include "net/fiber_runtime.h"

#include <algorithm>
#include <cassert>
#include <random>
#include <utility>

namespace ragworthinge {

namespace {

constexpr std::chrono::milliseconds page_poll_period{400};
constexpr std::chrono::milliseconds report_period{200};
constexpr std::chrono::milliseconds shortest_report_gap{20};
constexpr std::chrono::milliseconds join_retry{500};
constexpr std::chrono::milliseconds holder_silence_limit{1500};
/// With the poll and the staggering a dead allocator is replaced within 3 s.
constexpr std::chrono::milliseconds allocator_silence_limit{1500};
constexpr std::chrono::milliseconds takeover_stagger{300};
/// Lease, its margin and the time for a message under way.
constexpr std::chrono::milliseconds reclaim_wait{2400};

/// The pool lends tokens to requests that are reported as waiting. Hosts do not report those yet, so a pool would only
/// keep a part of each budget from them.
constexpr allocation_policy_options without_pool{.pool_part = 0, .pool_burst = 0};

incarnation draw_run() {
    std::random_device source;
    return (static_cast<std::uint64_t>(source()) << 32U | source()) >> 12U;
}

} // namespace

share_service::share_service(share_service_options options) : m_options(std::move(options)) {}

void share_service::start() {
    m_next_poll = monotonic_clock::now();
}

void share_service::run_in_background(bool& busy, std::function<void()> body) {
    if (busy)
        return;
    busy = true;
    m_options.runtime.spawn([&busy, body = std::move(body)] {
        body();
        busy = false;
    });
}

void share_service::configure(std::vector<budget_limit> limits, std::vector<region_id> regions,
                              duration longest_request) {
    m_longest_request = longest_request;
    m_limits = std::move(limits);
    m_regions = std::move(regions);
    m_limits_checked_at.reset();
    for (const budget_limit& item : m_limits)
        index_of(item.budget);
}

budget_index share_service::index_of(const budget_id& budget) {
    const auto [position, is_new] = m_indexes.try_emplace(budget, m_budgets.size());
    if (is_new) {
        m_budgets.push_back(budget);
        if (m_holder)
            m_holder->index_of(budget);
    }
    return position->second;
}

bool share_service::spend(budget_index budget, units count, time_point now) {
    if (!m_holder)
        return false;
    m_holder->iteration(now);
    return m_holder->spend(budget, count, now);
}

void share_service::refund(budget_index budget, units count) {
    if (m_holder)
        m_holder->refund(budget, count);
}

void share_service::note_demand(budget_index budget, units count) {
    if (m_holder)
        m_holder->note_demand(budget, count);
}

void share_service::set_waiting(budget_index budget, units count) {
    if (m_holder)
        m_holder->set_waiting(budget, count);
}

units share_service::available(budget_index budget, time_point now) const {
    return m_holder ? m_holder->available(budget, now) : 0;
}

amount share_service::held(budget_index budget) const {
    return m_holder ? m_holder->held(budget) : amount{};
}

std::optional<licence_mode> share_service::mode(time_point now) const {
    if (!m_holder)
        return std::nullopt;
    return m_holder->spending_lease().mode(now);
}

void share_service::tick(time_point now) {
    if (m_resigned)
        return;
    if (m_holder) {
        m_holder->iteration(now);
        if (m_holder->spending_lease().is_fenced()) {
            stop_allocating();
            m_holder.reset();
            m_options.on_event("fenced", "this run was fenced and joins again");
        }
    }
    if (!m_holder) {
        if (now < m_next_poll)
            return;
        m_next_poll = now + join_retry;
        run_in_background(m_polling, [this] { static_cast<void>(join()); });
        return;
    }

    if (now >= m_next_poll) {
        m_next_poll = now + page_poll_period;
        run_in_background(m_polling, [this] { poll_region(); });
    }
    const bool urgent =
        (m_holder->runs_short() || m_holder->has_lowered()) && now - m_last_report >= shortest_report_gap;
    if (now >= m_next_report || urgent)
        report();
    if (m_book)
        run_allocator(now);

    const bool lost_reply = m_allocator == m_holder->self() && !m_book;
    // A region that never had an allocator has none whose silence must be waited for.
    const auto silence = m_view.allocator.epoch == 0 ? std::chrono::milliseconds(0) : allocator_silence_limit;
    const auto patience = silence + takeover_stagger * m_options.takeover_rank();
    if (lost_reply || (!m_book && now - m_allocator_heard > patience))
        run_in_background(m_taking_over, [this] { take_over(); });
}

result<void> share_service::join() {
    const time_point sent_at = monotonic_clock::now();
    BOOST_OUTCOME_TRY(const auto range, m_options.store.get_prefix(region_prefix(m_options.region)));
    BOOST_OUTCOME_TRY(region_state state, decode_region_state(m_options.region, range.entries));

    const holder_id self{.host = m_options.host, .run = draw_run()};
    region_members page = state.page;
    ++page.revision;
    for (region_member& member : page.members) {
        if (member.holder.host != m_options.host)
            continue;
        member.fenced = true;
        member.ended = true;
    }
    page.members.push_back({.holder = self, .joined = page.revision});
    // The epoch is read in the same transaction, so an allocator that did not see this run on the page is older.
    const store_transaction transaction{
        .compares = {{.key = members_key(m_options.region), .mod_revision = state.members_mod_revision}},
        .success = {{.type = store_operation::kind::put, .key = members_key(m_options.region), .value = encode(page)},
                    {.type = store_operation::kind::get, .key = allocator_key(m_options.region)}}};
    BOOST_OUTCOME_TRY(const auto committed, m_options.store.commit(transaction));
    if (!committed.succeeded)
        return failure(error_code::conflict, "another host changed the region's page");

    BOOST_OUTCOME_TRY(const region_state after, decode_region_state(m_options.region, committed.entries));
    state.page = std::move(page);
    state.members_mod_revision = committed.position.revision;
    state.allocator = after.allocator;
    state.allocator_mod_revision = after.allocator_mod_revision;

    m_holder =
        std::make_unique<share_holder>(share_holder_options{.self = self, .minimum_epoch = state.allocator.epoch});
    for (const budget_id& budget : m_budgets)
        m_holder->index_of(budget);
    ++m_generation;
    m_known_epoch = 0;
    m_view = {};
    m_fencing.clear();
    m_allocator_heard = monotonic_clock::now();
    region_read(std::move(state), sent_at);
    m_options.on_event("joined", "run " + std::to_string(self.run));
    return boost::outcome_v2::success();
}

void share_service::poll_region() {
    const time_point sent_at = monotonic_clock::now();
    const auto range = m_options.store.get_prefix(region_prefix(m_options.region));
    if (!range || !m_holder)
        return;
    auto state = decode_region_state(m_options.region, range.value().entries);
    if (!state) {
        m_options.on_event("store_garbage", state.error().message);
        return;
    }
    region_read(std::move(state).value(), sent_at);
    if (m_exchange)
        read_ceilings();
}

void share_service::region_read(region_state state, time_point sent_at) {
    if (state.page.revision < m_view.page.revision)
        return;
    m_view = std::move(state);
    std::vector<holder_id> members;
    for (const region_member& member : m_view.page.members) {
        if (!member.fenced)
            members.push_back(member.holder);
    }
    m_holder->spending_lease().page_read(m_view.page.revision, std::move(members), sent_at);
    learn_allocator(m_view.allocator.epoch, m_view.allocator.holder);
    acknowledge_page();

    if (!m_book || m_view.allocator.epoch != m_book->epoch())
        return;
    const time_point now = monotonic_clock::now();
    for (const region_member& member : m_view.page.members) {
        m_book->add_member(member.holder);
        if (member.fenced)
            m_book->fence_confirmed(member.holder, now);
    }
}

void share_service::acknowledge_page() {
    if (m_acknowledged == m_view.page.revision)
        return;
    run_in_background(m_acknowledging, [this] {
        const std::int64_t revision = m_view.page.revision;
        const store_transaction transaction{
            .success = {{.type = store_operation::kind::put,
                         .key = seen_key(m_options.region, m_options.host),
                         .value = encode_seen({.host = m_options.host, .run = run()}, revision)}}};
        if (m_options.store.commit(transaction))
            m_acknowledged = revision;
    });
}

void share_service::learn_allocator(allocator_epoch epoch, const holder_id& allocator) {
    if (!m_holder || epoch <= m_known_epoch)
        return;
    m_known_epoch = epoch;
    m_allocator = allocator;
    m_allocator_heard = monotonic_clock::now();
    if (m_book && m_book->epoch() < epoch)
        stop_allocating();
    m_holder->adopt_epoch(epoch);
    m_next_report = monotonic_clock::now();
}

void share_service::report() {
    if (m_allocator.host.empty() || m_reporting)
        return;
    const time_point now = monotonic_clock::now();
    m_last_report = now;
    m_next_report = now + report_period;
    share_exchange_request request{m_holder->report(now)};
    if (m_book) {
        m_allocator_heard = now;
        apply(answer(request).assignment);
        return;
    }
    run_in_background(m_reporting, [this, request = std::move(request), target = m_allocator.host] {
        const auto text = m_options.send(target, request);
        if (!text)
            return;
        const auto reply = decode_share_exchange_reply(text.value());
        if (!reply || !m_holder)
            return;
        if (!reply.value().allocator)
            return;
        if (reply.value().epoch == m_known_epoch)
            m_allocator_heard = monotonic_clock::now();
        apply(reply.value().assignment);
    });
}

void share_service::apply(const share_assignment& assignment) {
    if (m_holder && assignment.holder == m_holder->self())
        m_holder->apply(assignment, monotonic_clock::now());
}

share_exchange_reply share_service::answer(const share_exchange_request& request) {
    share_exchange_reply reply{.allocator = false, .epoch = m_known_epoch};
    const time_point now = monotonic_clock::now();
    if (!m_book || !m_book->receive(request.report, now))
        return reply;
    reply.allocator = true;
    m_heard[request.report.holder] = now;
    m_book->allocate(now);
    reply.assignment = m_book->assignment_for(request.report.holder)
                           .value_or(share_assignment{.holder = request.report.holder, .epoch = m_book->epoch()});
    inform_holders();
    return reply;
}

void share_service::take_push(const share_push& push) {
    apply(push.assignment);
    if (m_holder && push.assignment.epoch == m_known_epoch)
        m_allocator_heard = monotonic_clock::now();
}

void share_service::take_over() {
    const holder_id self = m_holder->self();
    const region_allocator next{.epoch = m_view.allocator.epoch + 1, .holder = self};
    const store_transaction transaction{
        .compares = {{.key = allocator_key(m_options.region), .mod_revision = m_view.allocator_mod_revision}},
        .success = {{.type = store_operation::kind::put, .key = allocator_key(m_options.region), .value = encode(next)},
                    {.type = store_operation::kind::get, .key = members_key(m_options.region)}}};
    const auto committed = m_options.store.commit(transaction);
    if (!committed || !committed.value().succeeded) {
        // After a lost reply the next read of the page shows whether this host is the allocator.
        m_options.runtime.sleep_for(page_poll_period);
        return;
    }
    auto state = decode_region_state(m_options.region, committed.value().entries);
    if (!state || !m_holder || m_holder->self() != self)
        return;

    std::vector<ledger_member> members;
    for (const region_member& member : state.value().page.members)
        members.push_back({.holder = member.holder, .fenced = member.fenced});
    m_view.page = state.value().page;
    m_view.members_mod_revision = state.value().members_mod_revision;
    m_view.allocator = next;
    m_view.allocator_mod_revision = committed.value().position.revision;

    stop_allocating();
    learn_allocator(next.epoch, self);
    m_book = std::make_unique<ledger>(
        ledger_options{.epoch = next.epoch, .longest_request = m_longest_request, .policy = without_pool}, members,
        monotonic_clock::now());
    m_exchange = std::make_unique<ceiling_exchange>(
        ceiling_exchange_options{.writer = {.region = m_options.region, .epoch = next.epoch}}, *m_book);
    m_options.on_event("allocator_takeover", "epoch " + std::to_string(next.epoch));
    read_ceilings();
}

void share_service::stop_allocating() {
    m_exchange.reset();
    m_book.reset();
    m_heard.clear();
    m_ended_since.clear();
}

void share_service::run_allocator(time_point now) {
    m_allocator_heard = now;
    m_book->allocate(now);
    inform_holders();
    fence_silent(now);
    forget_ended(now);
    write_ceilings(now);
}

void share_service::inform_holders() {
    for (const holder_id& holder : m_book->holders_to_inform()) {
        if (const auto assignment = m_book->assignment_for(holder))
            push(*assignment);
    }
}

void share_service::push(const share_assignment& assignment) {
    if (assignment.holder == m_holder->self()) {
        apply(assignment);
        return;
    }
    m_options.runtime.spawn(
        [this, assignment] { static_cast<void>(m_options.send(assignment.holder.host, share_push{assignment})); });
}

void share_service::fence_silent(time_point now) {
    for (const region_member& member : m_view.page.members) {
        if (member.fenced || member.holder == m_holder->self())
            continue;
        const time_point heard = m_heard.try_emplace(member.holder, now).first->second;
        if (now - heard <= holder_silence_limit)
            continue;
        // A member that has not seen this host on the page could take the silence of the others for an outage.
        const region_member* own = m_view.page.find(m_holder->self());
        const auto seen = m_view.seen.find(member.holder);
        if (own == nullptr || seen == m_view.seen.end() || seen->second < own->joined)
            continue;
        run_in_background(m_fence_under_way, [this, member] { fence(member); });
        return;
    }
}

void share_service::fence(const region_member& target) {
    const time_point sent_at = monotonic_clock::now();
    region_members page = m_view.page;
    ++page.revision;
    for (region_member& member : page.members) {
        if (member.holder == target.holder)
            member.fenced = true;
    }
    m_fencing.insert(target.holder);
    const store_transaction transaction{
        .compares = {{.key = members_key(m_options.region), .mod_revision = m_view.members_mod_revision},
                     {.key = allocator_key(m_options.region), .mod_revision = m_view.allocator_mod_revision}},
        .success = {{.type = store_operation::kind::put, .key = members_key(m_options.region), .value = encode(page)}}};
    const auto committed = m_options.store.commit(transaction);
    if (!committed || !m_holder) {
        m_options.runtime.sleep_for(page_poll_period);
        return;
    }
    if (!committed.value().succeeded) {
        m_fencing.erase(target.holder);
        return;
    }
    region_state state = m_view;
    state.page = std::move(page);
    state.members_mod_revision = committed.value().position.revision;
    m_options.on_event("member_fenced", target.holder.host + " was silent");
    region_read(std::move(state), sent_at);
}

void share_service::forget_ended(time_point now) {
    const duration wait = reclaim_wait + m_longest_request;
    for (const region_member& member : m_view.page.members) {
        if (!member.ended || now - m_ended_since.try_emplace(member.holder, now).first->second <= wait)
            continue;
        m_book->forget(member.holder);
        run_in_background(m_fence_under_way, [this, holder = member.holder] {
            region_members page = m_view.page;
            ++page.revision;
            std::erase_if(page.members, [&](const region_member& other) { return other.holder == holder; });
            const store_transaction transaction{
                .compares = {{.key = members_key(m_options.region), .mod_revision = m_view.members_mod_revision},
                             {.key = allocator_key(m_options.region), .mod_revision = m_view.allocator_mod_revision}},
                .success = {
                    {.type = store_operation::kind::put, .key = members_key(m_options.region), .value = encode(page)}}};
            const auto committed = m_options.store.commit(transaction);
            if (!committed || !committed.value().succeeded || !m_holder)
                return;
            region_state state = m_view;
            state.page = std::move(page);
            state.members_mod_revision = committed.value().position.revision;
            region_read(std::move(state), monotonic_clock::now());
        });
        return;
    }
}

void share_service::read_ceilings() {
    run_in_background(m_reading_ceilings, [this] {
        const auto entry = m_options.store.get(std::string(ceilings_key));
        if (!entry)
            return;
        if (!entry.value()) {
            ceilings_read({}, 0);
            return;
        }
        auto page = decode_ceiling_page(entry.value()->value);
        if (!page) {
            m_options.on_event("store_garbage", page.error().message);
            return;
        }
        ceilings_read(page.value(), entry.value()->mod_revision);
    });
}

void share_service::ceilings_read(const ceiling_page& page, std::int64_t mod_revision) {
    if (!m_exchange || mod_revision < m_ceilings_mod_revision)
        return;
    m_ceilings = page;
    m_ceilings_mod_revision = mod_revision;
    // A page without this region has nothing to tell; write_ceilings adds the region first.
    if (region_position(page, m_options.region) == page.regions.size())
        return;
    m_exchange->page_read(page);
    if (m_exchange->is_superseded())
        stop_allocating();
}

ceiling_page share_service::with_configured_limits(ceiling_page page) const {
    for (const region_id& region : m_regions) {
        if (region_position(page, region) != page.regions.size())
            continue;
        page.regions.push_back({.region = region});
        for (page_budget& item : page.budgets)
            item.parts.emplace_back();
    }
    for (const budget_limit& item : m_limits)
        page = with_limit(std::move(page), item.budget, item.limit, item.minimum);
    for (const page_budget& item : std::vector<page_budget>(page.budgets)) {
        const bool configured = std::ranges::find(m_limits, item.budget, &budget_limit::budget) != m_limits.end();
        if (!configured && item.limit != amount{})
            page = with_limit(std::move(page), item.budget, {}, item.minimum);
    }
    return page;
}

void share_service::write_ceilings(time_point now) {
    if (!m_ceilings || m_writing_ceilings || m_limits.empty())
        return;
    bool limits_changed = false;
    std::optional<ceiling_page> next;
    ceiling_page limited;
    if (m_limits_checked_at != m_ceilings_mod_revision) {
        limited = with_configured_limits(*m_ceilings);
        limits_changed = limited != *m_ceilings;
        if (!limits_changed)
            m_limits_checked_at = m_ceilings_mod_revision;
    }
    if (!limits_changed)
        next = m_exchange->next_write(now);
    if (!limits_changed && !next)
        return;
    if (limits_changed)
        next = std::move(limited);

    run_in_background(m_writing_ceilings, [this, page = std::move(*next), limits_changed] {
        const std::string key(ceilings_key);
        const store_transaction transaction{
            .compares = {{.key = key, .mod_revision = m_ceilings_mod_revision}},
            .success = {{.type = store_operation::kind::put, .key = key, .value = encode(page)}},
            .failure = {{.type = store_operation::kind::get, .key = key}}};
        const auto committed = m_options.store.commit(transaction);
        bool succeeded = false;
        if (committed && committed.value().succeeded) {
            succeeded = true;
            ceilings_read(page, committed.value().position.revision);
        } else if (committed) {
            for (const store_entry& entry : committed.value().entries) {
                if (auto current = decode_ceiling_page(entry.value))
                    ceilings_read(current.value(), entry.mod_revision);
            }
        } else {
            // The outcome is unknown: the page must be read again before the write counts as ended.
            auto entry = m_options.store.get(key);
            while (!entry && m_exchange) {
                m_options.runtime.sleep_for(page_poll_period);
                entry = m_options.store.get(key);
            }
            if (entry && entry.value()) {
                if (auto current = decode_ceiling_page(entry.value()->value))
                    ceilings_read(current.value(), entry.value()->mod_revision);
            }
        }
        if (m_exchange && !limits_changed)
            m_exchange->write_ended(succeeded);
    });
}

void share_service::describe(heartbeat_reply& reply, const holder_id& asker, time_point now) const {
    if (!m_holder)
        return;
    reply.direct_proof_age = m_holder->spending_lease().direct_proof_age(now);
    const region_member* member = m_view.page.find(asker);
    reply.lists_sender = member != nullptr && !member->fenced && !m_fencing.contains(asker);
    reply.epoch = m_known_epoch;
    reply.allocator = m_allocator;
}

void share_service::take_reply(const heartbeat_reply& reply, time_point sent_at) {
    if (!m_holder)
        return;
    m_holder->spending_lease().peer_answered({.peer = {.host = reply.responder.host, .run = reply.responder_run},
                                              .poll_sent = sent_at,
                                              .proof_age = reply.direct_proof_age,
                                              .lists_this_holder = reply.lists_sender});
    learn_allocator(reply.epoch, reply.allocator);
}

void share_service::resign() {
    if (!m_holder || m_resigned)
        return;
    m_resigned = true;
    const share_exchange_request request{m_holder->resign()};
    if (m_book) {
        static_cast<void>(answer(request));
    } else if (!m_allocator.host.empty()) {
        static_cast<void>(m_options.send(m_allocator.host, request));
    }
    leave_page();
    stop_allocating();
}

// During a store outage the others rely on hearing every member on the page, so one that has left must not stay there.
void share_service::leave_page() {
    region_members page = m_view.page;
    ++page.revision;
    std::erase_if(page.members, [&](const region_member& member) { return member.holder == m_holder->self(); });
    const store_transaction transaction{
        .compares = {{.key = members_key(m_options.region), .mod_revision = m_view.members_mod_revision}},
        .success = {{.type = store_operation::kind::put, .key = members_key(m_options.region), .value = encode(page)}}};
    // Without success the entry stays until the next run of this host replaces it.
    static_cast<void>(m_options.store.commit(transaction));
}

} // namespace ragworthinge
