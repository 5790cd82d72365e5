#include "store/fake_store.h"

#include <algorithm>
#include <utility>

namespace ragworthinge {

using standins::key_interval;
using standins::stored_event;
using standins::stored_key;

namespace {

/// Range of all keys with the prefix. Keys are text, so none contains the byte 0xff that ends the range.
key_interval interval_of(const std::string& prefix) {
    return {prefix, prefix.empty() ? std::string(1, '\0') : prefix + '\xff'};
}

store_entry entry_of(const stored_key& key) {
    return {key.key, key.value, key.create_revision, key.mod_revision};
}

} // namespace

store_event fake_store::event_of(const stored_event& event) const {
    const bool removed = event.current.version == 0;
    return {event.current.key,
            removed ? std::nullopt : std::optional(event.current.value),
            {.era = m_era, .revision = event.current.mod_revision}};
}

void fake_store::come_back_from(const standins::standin_store& copy) {
    m_store = copy;
    m_era = store_era{number_of(m_era) + 1};
}

void fake_store::run_hook(const hook& chosen, std::string_view call) {
    if (!chosen || m_in_hook)
        return;
    m_in_hook = true;
    // Copies the hook, because it may replace itself while it runs.
    const hook running = chosen;
    running(call);
    m_in_hook = false;
}

result<void> fake_store::start_read(std::string_view call) {
    ++m_calls;
    run_hook(before_call, call);
    m_store.expire_leases(now);
    if (faults.down)
        return failure(error_code::unavailable, "the fake store is down");
    if (faults.refuse_budget)
        return failure(error_code::budget_exhausted, "the fake store rejects calls");
    if (faults.malformed_responses > 0) {
        --faults.malformed_responses;
        return failure(error_code::protocol_violation, "the fake store returned a malformed response");
    }
    return boost::outcome_v2::success();
}

result<void> fake_store::start_write(std::string_view call) {
    ++m_calls;
    run_hook(before_call, call);
    m_store.expire_leases(now);
    if (faults.down)
        return failure(error_code::unavailable, "the fake store is down");
    if (faults.refuse_budget)
        return failure(error_code::budget_exhausted, "the fake store rejects calls");
    if (faults.lose_requests > 0) {
        --faults.lose_requests;
        return failure(error_code::outcome_unknown, "the fake store lost the request");
    }
    return boost::outcome_v2::success();
}

result<void> fake_store::end_write(std::string_view call) {
    run_hook(after_call, call);
    if (faults.lose_replies > 0) {
        --faults.lose_replies;
        return failure(error_code::outcome_unknown, "the fake store lost the reply");
    }
    return boost::outcome_v2::success();
}

void fake_store::compact() {
    // Compacting at a revision that is already compacted has no effect, so the result is ignored.
    (void)m_store.compact(m_store.revision());
}

void fake_store::put(const std::string& key, const std::string& value) {
    m_store.begin_changes();
    m_store.put(key, value, 0);
    m_store.end_changes();
}

void fake_store::remove(const std::string& key) {
    m_store.begin_changes();
    m_store.remove({key, ""});
    m_store.end_changes();
}

std::optional<std::string> fake_store::value(const std::string& key) const {
    const auto found = m_store.range({key, ""});
    return found.empty() ? std::nullopt : std::optional(found.front().value);
}

result<std::optional<store_entry>> fake_store::get(const std::string& key) {
    BOOST_OUTCOME_TRY(start_read("get"));
    const auto found = (m_frozen_store ? *m_frozen_store : m_store).range({key, ""});
    run_hook(after_call, "get");
    return found.empty() ? std::nullopt : std::optional(entry_of(found.front()));
}

result<store_range> fake_store::get_prefix(const std::string& prefix) {
    BOOST_OUTCOME_TRY(start_read("get_prefix"));
    const standins::standin_store& source = m_frozen_store ? *m_frozen_store : m_store;
    store_range range;
    range.position = {.era = m_era, .revision = source.revision()};
    for (const stored_key& key : source.range(interval_of(prefix)))
        range.entries.push_back(entry_of(key));
    run_hook(after_call, "get_prefix");
    return range;
}

store_transaction_result fake_store::apply(const store_transaction& transaction) {
    using comparison = standins::standin_store::comparison;
    store_transaction_result outcome;
    outcome.succeeded =
        std::all_of(transaction.compares.begin(), transaction.compares.end(), [&](const store_compare& compare) {
            return m_store.holds(comparison{.key = compare.key, .number = compare.mod_revision, .value = {}});
        });
    m_store.begin_changes();
    for (const store_operation& operation : outcome.succeeded ? transaction.success : transaction.failure) {
        if (operation.type == store_operation::kind::put)
            m_store.put(operation.key, operation.value, operation.lease);
        if (operation.type == store_operation::kind::remove)
            m_store.remove({operation.key, ""});
        if (operation.type != store_operation::kind::get)
            continue;
        for (const stored_key& key : m_store.range({operation.key, ""}))
            outcome.entries.push_back(entry_of(key));
    }
    m_store.end_changes();
    outcome.position = position();
    return outcome;
}

result<store_transaction_result> fake_store::commit(const store_transaction& transaction) {
    ++m_commits;
    BOOST_OUTCOME_TRY(start_write("commit"));
    for (const auto* branch : {&transaction.success, &transaction.failure}) {
        for (const store_operation& operation : *branch) {
            if (operation.lease != 0 && m_store.find_lease(operation.lease) == nullptr)
                return failure(error_code::not_found, "the lease has ended");
        }
    }
    store_transaction_result outcome = apply(transaction);
    BOOST_OUTCOME_TRY(end_write("commit"));
    return outcome;
}

result<std::int64_t> fake_store::grant_lease(std::chrono::seconds ttl) {
    BOOST_OUTCOME_TRY(start_write("grant_lease"));
    const std::int64_t lease = m_store.grant_lease(0, ttl, now);
    BOOST_OUTCOME_TRY(end_write("grant_lease"));
    return lease;
}

result<std::chrono::seconds> fake_store::keep_lease_alive(std::int64_t lease) {
    BOOST_OUTCOME_TRY(start_read("keep_lease_alive"));
    const auto remaining = m_store.keep_lease_alive(lease, now);
    run_hook(after_call, "keep_lease_alive");
    if (!remaining)
        return failure(error_code::not_found, "the lease has ended");
    return *remaining;
}

result<store_position> fake_store::watch_prefix(const std::string& prefix, store_position from,
                                                const std::function<bool(const std::vector<store_event>&)>& on_events) {
    BOOST_OUTCOME_TRY(start_read("watch_prefix"));
    std::int64_t delivered = from.revision;
    for (;;) {
        if (delivered + 1 < m_store.compacted_revision())
            return failure(error_code::not_found, "the revisions to watch were compacted");
        if (from.era != m_era)
            return failure(error_code::not_found, "the store has come back from a copy");
        std::vector<store_event> events;
        for (const stored_event& event : m_store.events_from(delivered + 1, interval_of(prefix)))
            events.push_back(event_of(event));
        if (events.empty())
            return store_position{.era = m_era, .revision = std::max(delivered, m_store.revision())};
        delivered = events.back().position.revision;
        if (!on_events(events))
            return events.back().position;
    }
}

} // namespace ragworthinge
