#include "requests/claim_manager.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <string_view>

namespace ragworthinge {

namespace {

/// Returns whether the error guarantees that the transaction had no effect.
bool had_no_effect(error_code code) {
    return code == error_code::unavailable || code == error_code::budget_exhausted;
}

bool is_same_claim(const result<claim_record>& found, const claim_record& claim) {
    return found.has_value() && found.value().tag == claim.tag;
}

} // namespace

claim_manager::begin_result claim_manager::begin(const claim_request& request, claim_time time) {
    const claim_ticket ticket = ++m_last_ticket;
    const std::string key = claim_store_key(request.account, request.idempotency_key);
    if (request.deadline <= time.now)
        return {ticket, claim_decision{claim_verdict::unavailable, {}, "the deadline passed before the claim"}};

    const auto existing_claim = m_entries.find(key);
    if (existing_claim == m_entries.end()) {
        insert(key, make_claim(ticket, request, time));
        return {ticket, std::nullopt};
    }
    if (!is_withdrawn(existing_claim->second))
        return {ticket, decide_from_entry(existing_claim->second, request, time)};

    // Another host may have run the request since the earlier attempt was withdrawn, so the store must be asked.
    const auto [waiting_attempt, is_first] = m_waiting_attempts.try_emplace(key, make_claim(ticket, request, time));
    if (!is_first)
        return {ticket, decide_from_entry(waiting_attempt->second, request, time)};
    return {ticket, std::nullopt};
}

claim_manager::entry claim_manager::make_claim(claim_ticket ticket, const claim_request& request,
                                               claim_time time) const {
    entry claim;
    claim.ticket = ticket;
    claim.record.fingerprint = request.fingerprint;
    claim.record.tag = m_options.host + "/" + std::to_string(m_options.run) + "/" + std::to_string(ticket);
    claim.record.host = m_options.host;
    claim.record.claimed_at = time.wall;
    claim.record.abandoned_at = time.wall + std::chrono::duration_cast<wall_clock::duration>(
                                                request.deadline - time.now + m_options.grace_period);
    claim.deadline = request.deadline;
    claim.give_up_at = std::min(request.deadline, time.now + m_options.claim_timeout);
    return claim;
}

void claim_manager::insert(const std::string& key, entry claim) {
    m_keys_by_ticket.emplace(claim.ticket, key);
    m_entries.emplace(key, std::move(claim));
    m_queue.push_back(key);
}

bool claim_manager::is_withdrawn(const entry& existing_claim) {
    return existing_claim.given_up || existing_claim.step == phase::releasing || existing_claim.step == phase::probing;
}

claim_decision claim_manager::decide_from_entry(const entry& existing_claim, const claim_request& request,
                                                claim_time time) {
    if (existing_claim.record.fingerprint != request.fingerprint)
        return {claim_verdict::key_reused, {}, {}};
    if (existing_claim.record.state == claim_state::completed)
        return {claim_verdict::replay, existing_claim.record.response, {}};
    if (existing_claim.record.state == claim_state::unknown || time.wall > existing_claim.record.abandoned_at)
        return {claim_verdict::unknown, {}, "an earlier attempt may have run"};
    return {claim_verdict::running, {}, {}};
}

void claim_manager::complete(claim_ticket ticket, stored_response response) {
    claim_record& record = granted_entry(ticket).record;
    record.state = claim_state::completed;
    record.response = std::move(response);
    enqueue(ticket, phase::finishing);
}

void claim_manager::complete_unknown(claim_ticket ticket) {
    granted_entry(ticket).record.state = claim_state::unknown;
    enqueue(ticket, phase::finishing);
}

void claim_manager::release(claim_ticket ticket) {
    enqueue(ticket, phase::releasing);
}

claim_manager::entry& claim_manager::granted_entry(claim_ticket ticket) {
    const auto key = m_keys_by_ticket.find(ticket);
    assert(key != m_keys_by_ticket.end());
    entry& claim = m_entries.at(key->second);
    assert(claim.step == phase::granted);
    return claim;
}

void claim_manager::enqueue(claim_ticket ticket, phase step) {
    granted_entry(ticket).step = step;
    m_queue.push_back(m_keys_by_ticket.at(ticket));
}

std::optional<claim_manager::claim_batch> claim_manager::next_batch(claim_time time) {
    const bool has_work = !m_retry.empty() || !m_queue.empty();
    if (!has_work || !m_in_flight.empty() || m_lease == 0)
        return std::nullopt;
    if (m_next_transaction_at && time.now < *m_next_transaction_at)
        return std::nullopt;

    claim_batch next{++m_transaction_id, take_batch()};
    m_next_transaction_at = time.now + m_options.batch_interval;
    ++m_statistics.transactions;
    m_statistics.operations += m_in_flight.size();
    return next;
}

store_transaction claim_manager::take_batch() {
    // New claims are not added to a repeated batch: their conflicts would make it fail again, and a caller that repeats
    // its requests could delay the claims of all others.
    keys& source = m_retry.empty() ? m_queue : m_retry;
    store_transaction transaction;
    std::size_t bytes = 0;
    while (!source.empty() && m_in_flight.size() < m_options.max_operations && bytes < m_options.max_batch_bytes) {
        const std::string key = source.front();
        source.pop_front();
        bytes += add_operations(transaction, key, m_entries.at(key));
        m_in_flight.push_back(key);
    }
    return transaction;
}

std::size_t claim_manager::add_operations(store_transaction& transaction, const std::string& key,
                                          const entry& claim) const {
    using kind = store_operation::kind;
    const store_operation read{kind::get, key, {}, 0};
    transaction.failure.push_back(read);
    if (claim.step == phase::probing) {
        transaction.success.push_back(read);
        return key.size();
    }

    // While claiming, the revision is zero, which requires that the key does not exist.
    transaction.compares.push_back({key, claim.revision});
    if (claim.step == phase::releasing) {
        transaction.success.push_back({kind::remove, key, {}, 0});
        return key.size();
    }
    transaction.success.push_back({kind::put, key, claim.record.encode(), m_lease});
    return key.size() + transaction.success.back().value.size();
}

void claim_manager::on_result(std::uint64_t id, const result<store_transaction_result>& outcome, claim_time time) {
    if (id != m_transaction_id || m_in_flight.empty())
        return;
    const keys batch = std::exchange(m_in_flight, {});
    if (!outcome) {
        on_error(batch, outcome.error().code, time.now);
        return;
    }

    m_consecutive_errors = 0;
    if (!outcome.value().succeeded)
        ++m_statistics.failed_conditions;
    std::map<std::string_view, const store_entry*> found;
    for (const store_entry& stored : outcome.value().entries)
        found.emplace(stored.key, &stored);
    for (const std::string& key : batch) {
        const auto stored = found.find(key);
        handle_result(key, outcome.value(), stored == found.end() ? nullptr : stored->second, time);
    }
}

void claim_manager::handle_result(const std::string& key, const store_transaction_result& outcome,
                                  const store_entry* found, claim_time time) {
    if (m_entries.at(key).step == phase::probing)
        handle_probe(key, found);
    else if (outcome.succeeded)
        handle_success(key, outcome.position.revision, time);
    else
        handle_conflict(key, found, time);
}

void claim_manager::handle_success(const std::string& key, std::int64_t revision, claim_time time) {
    entry& claim = m_entries.at(key);
    if (claim.step == phase::claiming)
        grant(claim, key, revision, time);
    else
        remove(key);
}

void claim_manager::handle_conflict(const std::string& key, const store_entry* found, claim_time time) {
    entry& claim = m_entries.at(key);
    const bool is_claim = claim.step == phase::claiming;
    if (found == nullptr) {
        // A claim that is absent did not cause the conflict and is tried again. A record that was to be finished or
        // released and is absent was removed when its lease expired.
        if (!is_claim || claim.given_up)
            remove(key);
        else
            m_retry.push_back(key);
        return;
    }

    const result<claim_record> stored = claim_record::decode(found->value);
    if (is_same_claim(stored, claim.record)) {
        if (is_claim) {
            grant(claim, key, found->mod_revision, time);
        } else if (stored.value().state == claim_state::running) {
            claim.revision = found->mod_revision;
            m_retry.push_back(key);
        } else {
            // An earlier transaction whose reply was lost has written the result.
            remove(key);
        }
        return;
    }
    if (is_claim)
        decide(claim, decide_from_stored(key, claim, stored, time));
    remove(key);
}

void claim_manager::handle_probe(const std::string& key, const store_entry* found) {
    entry& claim = m_entries.at(key);
    if (found == nullptr || !is_same_claim(claim_record::decode(found->value), claim.record)) {
        remove(key);
        return;
    }
    claim.revision = found->mod_revision;
    claim.step = phase::releasing;
    m_queue.push_back(key);
}

claim_decision claim_manager::decide_from_stored(const std::string& key, const entry& claim,
                                                 const result<claim_record>& found, claim_time time) {
    if (!found) {
        // The writer of the malformed record may have run the request, so only `unknown` is safe.
        ++m_statistics.malformed_records;
        return {claim_verdict::unknown, {}, key + ": " + found.error().message};
    }
    const claim_record& record = found.value();
    if (record.fingerprint != claim.record.fingerprint)
        return {claim_verdict::key_reused, {}, {}};
    if (record.state == claim_state::completed)
        return {claim_verdict::replay, record.response, {}};
    if (record.state == claim_state::unknown || time.wall > record.abandoned_at)
        return {claim_verdict::unknown, {}, "an earlier attempt may have run"};
    return {claim_verdict::running, {}, {}};
}

void claim_manager::grant(entry& claim, const std::string& key, std::int64_t revision, claim_time time) {
    claim.revision = revision;
    claim.step = phase::granted;
    // The claim timeout limits only the wait for a decision. A claim that is confirmed before the caller was given a
    // decision is valid until the deadline.
    if (!claim.given_up && time.now >= claim.deadline)
        give_up(claim, "the deadline passed while the claim was stored");
    if (claim.given_up) {
        claim.step = phase::releasing;
        m_queue.push_back(key);
        return;
    }
    decide(claim, {claim_verdict::proceed, {}, {}});
}

void claim_manager::on_error(const keys& batch, error_code code, time_point now) {
    ++m_statistics.store_errors;
    ++m_consecutive_errors;
    const duration backoff = m_options.batch_interval * (1U << std::min(m_consecutive_errors, 10U));
    m_next_transaction_at = now + std::min(m_options.max_backoff, backoff);

    const bool is_reply_missing = code == error_code::outcome_unknown || code == error_code::timeout;
    // Any other error was reported by the store itself. It may be an expired lease, which a retry cannot fix, so a new
    // lease is requested.
    if (!had_no_effect(code) && !is_reply_missing)
        m_lease = 0;

    for (const std::string& key : batch) {
        if (m_entries.at(key).step == phase::claiming)
            on_claim_error(key, code);
        else
            m_retry.push_back(key);
    }
}

void claim_manager::on_claim_error(const std::string& key, error_code code) {
    entry& claim = m_entries.at(key);
    claim.possibly_written = claim.possibly_written || !had_no_effect(code);
    if (!claim.possibly_written && code == error_code::unavailable) {
        // Waiting for the store to recover would delay every such request by the full claim timeout.
        give_up(claim, "the store is unavailable");
        remove(key);
        return;
    }
    if (!claim.given_up) {
        m_retry.push_back(key);
    } else if (claim.possibly_written) {
        claim.step = phase::probing;
        m_queue.push_back(key);
    } else {
        remove(key);
    }
}

std::vector<claim_manager::decision_ready> claim_manager::take_decisions(claim_time time) {
    give_up_expired(time.now);
    // Queued claims that were given up are cleaned up here; claims in flight are cleaned up when their result arrives.
    for (keys* waiting_keys : {&m_queue, &m_retry}) {
        for (const std::string& key : std::exchange(*waiting_keys, {})) {
            entry& claim = m_entries.at(key);
            const bool was_given_up = claim.step == phase::claiming && claim.given_up;
            if (was_given_up && !claim.possibly_written) {
                remove(key);
                continue;
            }
            if (was_given_up)
                claim.step = phase::probing;
            waiting_keys->push_back(key);
        }
    }
    return std::exchange(m_decisions, {});
}

void claim_manager::give_up_expired(time_point now) {
    constexpr std::string_view reason = "the store did not confirm the claim in time";
    for (auto& [key, claim] : m_entries) {
        if (claim.step == phase::claiming && now >= claim.give_up_at)
            give_up(claim, std::string(reason));
    }
    for (auto item = m_waiting_attempts.begin(); item != m_waiting_attempts.end();) {
        const bool is_expired = now >= item->second.give_up_at;
        if (is_expired)
            give_up(item->second, std::string(reason));
        item = is_expired ? m_waiting_attempts.erase(item) : std::next(item);
    }
}

void claim_manager::give_up(entry& claim, std::string detail) {
    if (claim.given_up)
        return;
    decide(claim, {claim_verdict::unavailable, {}, std::move(detail)});
    claim.given_up = true;
}

void claim_manager::decide(entry& claim, claim_decision decision) {
    if (!claim.given_up)
        m_decisions.push_back({claim.ticket, std::move(decision)});
}

void claim_manager::remove(const std::string& key) {
    const auto found = m_entries.find(key);
    m_keys_by_ticket.erase(found->second.ticket);
    m_entries.erase(found);
    const auto waiting_attempt = m_waiting_attempts.find(key);
    if (waiting_attempt == m_waiting_attempts.end())
        return;
    entry next = std::move(waiting_attempt->second);
    m_waiting_attempts.erase(waiting_attempt);
    insert(key, std::move(next));
}

std::optional<time_point> claim_manager::next_wakeup() const {
    std::optional<time_point> wakeup;
    const auto include = [&](time_point candidate) {
        wakeup = std::min(wakeup.value_or(candidate), candidate);
    };
    if (m_in_flight.empty() && m_lease != 0 && !(m_retry.empty() && m_queue.empty()))
        include(m_next_transaction_at.value_or(time_point::min()));
    for (const auto& [key, claim] : m_entries) {
        if (claim.step == phase::claiming && !claim.given_up)
            include(claim.give_up_at);
    }
    for (const auto& [key, claim] : m_waiting_attempts)
        include(claim.give_up_at);
    return wakeup;
}

bool claim_manager::needs_lease(time_point now) const {
    return m_lease == 0 || now - m_lease_granted_at >= m_options.lease_renewal;
}

void claim_manager::set_lease(std::int64_t lease, time_point granted_at) {
    m_lease = lease;
    m_lease_granted_at = granted_at;
}

} // namespace ragworthinge
