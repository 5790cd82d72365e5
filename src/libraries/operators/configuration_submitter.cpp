#include "operators/configuration_submitter.h"

#include "configuration/fleet_configuration_printer.h"
#include "configuration/fleet_configuration_reader.h"
#include "configuration/utc_time.h"
#include "operators/audit_record.h"

#include <algorithm>

namespace ragworthinge {

namespace {

// Each attempt takes at most the deadline of one store call; four attempts outlast a single failover of the store.
constexpr int max_commit_attempts = 4;
// A concurrent submission can overwrite the chunks of one round; if that happens in every round, submit() reports a
// conflict.
constexpr int max_rounds = 4;
constexpr std::size_t max_audit_changes_bytes = 65'536;

constexpr std::string_view pointer_key = configuration_pointer_key;

const store_entry* find_entry(const std::vector<store_entry>& entries, std::string_view key) {
    const auto found =
        std::find_if(entries.begin(), entries.end(), [&](const store_entry& entry) { return entry.key == key; });
    return found == entries.end() ? nullptr : &*found;
}

store_operation put(std::string key, std::string value) {
    return {store_operation::kind::put, std::move(key), std::move(value), 0};
}

store_operation get(std::string key) {
    return {store_operation::kind::get, std::move(key), {}, 0};
}

std::string truncate_changes(std::string text) {
    if (text.size() <= max_audit_changes_bytes)
        return text;
    text.resize(text.rfind('\n', max_audit_changes_bytes) + 1);
    return text + "...\n";
}

} // namespace

/// State of a submission that has not finished.
struct configuration_submitter::pending_submission {
    const stored_configuration& base;
    const submission& requested;
    configuration_pointer pointer;
    std::vector<std::string> chunks;
    std::vector<std::int64_t> chunk_mod_revisions;
    std::string audit_value;
    std::vector<configuration_change> changes;
    std::vector<store_entry> entries_at_conflict = {}; ///< Read by the transaction that failed on the conflict.
};

result<stored_configuration> configuration_submitter::load_current() {
    // Another submission may be committed between the reads of pointer and chunks; the chunks of earlier revisions
    // stay in the store.
    BOOST_OUTCOME_TRY(const auto entry, m_store.get(std::string(pointer_key)));
    if (!entry)
        return stored_configuration{};
    BOOST_OUTCOME_TRY(auto pointer, parse_pointer(entry->value));
    return parse_stored(std::move(pointer), entry->mod_revision);
}

result<stored_configuration> configuration_submitter::load_revision(configuration_revision revision) {
    BOOST_OUTCOME_TRY(const auto entry, m_store.get(audit_key(revision)));
    if (!entry)
        return failure(error_code::not_found, "the store does not contain revision " + std::to_string(revision));
    BOOST_OUTCOME_TRY(auto record, parse_audit_record(entry->value));
    return parse_stored(std::move(record.pointer), 0);
}

result<std::string> configuration_submitter::load_content(const configuration_pointer& pointer) {
    std::vector<std::string> chunks;
    for (std::size_t number = 0; number < pointer.chunks; ++number) {
        BOOST_OUTCOME_TRY(auto entry, m_store.get(chunk_key(pointer.revision, number)));
        if (!entry)
            return failure(error_code::not_found, "the store does not contain chunk " + std::to_string(number) +
                                                      " of revision " + std::to_string(pointer.revision));
        chunks.push_back(std::move(entry->value));
    }
    return join_chunks(pointer, chunks);
}

result<stored_configuration> configuration_submitter::parse_stored(configuration_pointer pointer,
                                                                   std::int64_t mod_revision) {
    stored_configuration stored;
    BOOST_OUTCOME_TRY(stored.content, load_content(pointer));
    auto read = read_fleet_configuration("revision-" + std::to_string(pointer.revision), stored.content);
    if (!read.findings.empty())
        return failure(error_code::protocol_violation,
                       "the stored configuration is invalid, first finding: " + to_text(read.findings.front()));
    stored.configuration = std::move(read.configuration);
    stored.configuration.revision = pointer.revision;
    stored.pointer = std::move(pointer);
    stored.pointer_mod_revision = mod_revision;
    return stored;
}

result<store_transaction_result> configuration_submitter::commit_with_retries(const store_transaction& transaction,
                                                                              bool& outcome_is_unknown) {
    for (int attempt = 1;; ++attempt) {
        auto outcome = m_store.commit(transaction);
        if (outcome)
            return outcome;
        const auto code = outcome.error().code;
        const bool not_applied = code == error_code::unavailable || code == error_code::budget_exhausted;
        // After any other error, including a malformed response, the write may have been applied.
        outcome_is_unknown = outcome_is_unknown || !not_applied;
        if (attempt == max_commit_attempts)
            return outcome;
    }
}

/// Returns false if the pointer has moved.
result<bool> configuration_submitter::write_chunk(pending_submission& pending, std::size_t number) {
    const auto key = chunk_key(pending.pointer.revision, number);
    store_transaction transaction;
    transaction.compares = {{std::string(pointer_key), pending.base.pointer_mod_revision}};
    transaction.success = {put(key, pending.chunks[number])};
    transaction.failure = {get(std::string(pointer_key))};
    bool outcome_is_unknown = false;
    const auto outcome = commit_with_retries(transaction, outcome_is_unknown);
    // Even if this chunk was written, it has no effect as long as no pointer refers to it.
    if (!outcome)
        return failure(error_code::unavailable,
                       "could not write a configuration chunk; the current configuration is unchanged: " +
                           outcome.error().message);
    if (!outcome.value().succeeded) {
        pending.entries_at_conflict = outcome.value().entries;
        return false;
    }
    pending.chunk_mod_revisions[number] = outcome.value().position.revision;
    return true;
}

result<bool> configuration_submitter::write_leading_chunks(pending_submission& pending) {
    for (std::size_t number = 0; number + 1 < pending.chunks.size(); ++number) {
        BOOST_OUTCOME_TRY(const bool written, write_chunk(pending, number));
        if (!written)
            return false;
    }
    return true;
}

store_transaction configuration_submitter::pointer_transaction(const pending_submission& pending) const {
    store_transaction transaction;
    transaction.compares.push_back({std::string(pointer_key), pending.base.pointer_mod_revision});
    const auto last = pending.chunks.size() - 1;
    for (std::size_t number = 0; number < last; ++number)
        transaction.compares.push_back(
            {chunk_key(pending.pointer.revision, number), pending.chunk_mod_revisions[number]});
    const auto audit = audit_key(pending.pointer.revision);
    transaction.success = {put(chunk_key(pending.pointer.revision, last), pending.chunks[last]),
                           put(std::string(pointer_key), print_pointer(pending.pointer)),
                           put(audit, pending.audit_value)};
    for (const auto& key : pending.requested.removed_keys)
        transaction.success.push_back({store_operation::kind::remove, key, {}, 0});
    transaction.failure = {get(std::string(pointer_key)), get(audit)};
    return transaction;
}

/// Returns the outcome, or nullopt if the chunks have to be written again.
result<std::optional<submission_outcome>> configuration_submitter::try_commit(pending_submission& pending) {
    const submission_outcome accepted{submission_state::accepted, pending.pointer.revision, pending.changes};
    bool outcome_is_unknown = false;
    const auto outcome = commit_with_retries(pointer_transaction(pending), outcome_is_unknown);
    if (!outcome) {
        if (!outcome_is_unknown)
            return outcome.error();
        return failure(error_code::outcome_unknown, "revision " + std::to_string(pending.pointer.revision) +
                                                        " may have been committed; its audit record then has the tag " +
                                                        pending.pointer.tag + ": " + outcome.error().message);
    }
    if (outcome.value().succeeded)
        return std::optional(accepted);
    // The audit record remains when a later revision moves the pointer, so it also shows that an earlier attempt of
    // this submission was applied.
    const auto* audit = find_entry(outcome.value().entries, audit_key(pending.pointer.revision));
    if (audit != nullptr) {
        BOOST_OUTCOME_TRY(const auto record, parse_audit_record(audit->value));
        if (record.pointer.tag == pending.pointer.tag)
            return std::optional(accepted);
    }
    const auto* pointer = find_entry(outcome.value().entries, pointer_key);
    const auto mod_revision = pointer == nullptr ? 0 : pointer->mod_revision;
    if (mod_revision == pending.base.pointer_mod_revision)
        return std::optional<submission_outcome>{};
    pending.entries_at_conflict = outcome.value().entries;
    return std::optional(describe_conflict(pending));
}

/// Uses the pointer that the failed transaction read, because a separate read could return stale data.
submission_outcome configuration_submitter::describe_conflict(const pending_submission& pending) {
    submission_outcome conflict{submission_state::conflict, pending.base.pointer.revision + 1, {}};
    const auto* entry = find_entry(pending.entries_at_conflict, pointer_key);
    if (entry == nullptr)
        return conflict;
    auto pointer = parse_pointer(entry->value);
    if (!pointer)
        return conflict;
    conflict.revision = pointer.value().revision;
    const auto current = parse_stored(std::move(pointer).value(), entry->mod_revision);
    if (current)
        conflict.changes = compare_configurations(current.value().configuration, pending.requested.configuration);
    return conflict;
}

result<submission_outcome> configuration_submitter::submit(const stored_configuration& base,
                                                           const submission& requested) {
    const auto content = print_configuration(requested.configuration);
    const auto checked = read_fleet_configuration("submission", content);
    if (!checked.findings.empty())
        return failure(error_code::invalid_argument, "the configuration is invalid\n" + to_text(checked.findings));
    pending_submission pending{
        base, requested, {}, {}, {}, {}, compare_configurations(base.configuration, requested.configuration)};
    if (base.pointer.revision != 0 && pending.changes.empty() && requested.removed_keys.empty())
        return submission_outcome{submission_state::unchanged, base.pointer.revision, {}};
    BOOST_OUTCOME_TRY(pending.chunks, split_content(content, m_chunk_bytes));
    pending.chunk_mod_revisions.resize(pending.chunks.size());
    pending.pointer = {base.pointer.revision + 1, content_digest(content), pending.chunks.size(), requested.tag};
    pending.audit_value = print_audit_record(
        {pending.pointer, base.pointer.revision, requested.operator_name, requested.action, to_utc_text(requested.time),
         requested.configuration.revision_comment, truncate_changes(to_text(pending.changes))});
    for (int round = 0; round < max_rounds; ++round) {
        BOOST_OUTCOME_TRY(const bool written, write_leading_chunks(pending));
        if (!written)
            return describe_conflict(pending);
        BOOST_OUTCOME_TRY(auto outcome, try_commit(pending));
        if (outcome)
            return *std::move(outcome);
    }
    return failure(error_code::conflict,
                   "concurrent submissions repeatedly overwrote the chunks; the current configuration is unchanged");
}

} // namespace ragworthinge
