#pragma once

#include "base/result.h"
#include "base/time.h"
#include "configuration/configuration_chunks.h"
#include "configuration/configuration_difference.h"
#include "configuration/fleet_configuration.h"
#include "store/platform_store.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragworthinge {

/// Configuration read from the store.
struct stored_configuration {
    configuration_pointer pointer;
    std::int64_t pointer_mod_revision = 0; ///< 0 if the store has no configuration.
    std::string content;
    fleet_configuration configuration; ///< Default value if the store has no configuration.
};

/// A new configuration and the data that its audit record contains.
struct submission {
    fleet_configuration configuration;
    std::string operator_name;
    std::string action; ///< For example "submit" or "key withdraw".
    wall_time time{};
    std::string tag; ///< Random and unique; distinguishes this submission's writes from others.
    std::vector<std::string> removed_keys = {}; ///< Store keys deleted in the transaction that moves the pointer.
};

enum class submission_state {
    accepted,  ///< The submitted configuration is the current one.
    unchanged, ///< It equals the current configuration; nothing was written.
    conflict   ///< Another submission was committed first; this one has no effect.
};

struct submission_outcome {
    submission_state state = submission_state::accepted;
    configuration_revision revision = 0; ///< Accepted revision, or on a conflict the one committed first.
    /// Accepted: differences from the previous configuration to the submitted one.
    /// Conflict: differences from the current configuration to the submitted one.
    std::vector<configuration_change> changes;
};

/// Writes configurations to the store so that of several concurrent submissions based on a revision only one succeeds.
///
/// One transaction writes the last chunk, moves the pointer and writes the audit record, on condition that the pointer
/// has not moved. With all chunks it could exceed the store's size limit, so the other chunks are written beforehand,
/// each under the same condition, and the transaction checks that no other submission has overwritten them.
/// A write whose response was lost is retried; if the first attempt was applied, the retry finds this submission's tag.
class configuration_submitter {
public:
    explicit configuration_submitter(platform_store& store, std::size_t chunk_bytes = maximum_chunk_bytes)
        : m_store(store), m_chunk_bytes(chunk_bytes) {}

    /// Reads the current configuration; its revision is 0 if the store has none.
    result<stored_configuration> load_current();

    /// Reads an earlier revision through its audit record. Errors: not_found if the store does not have it.
    result<stored_configuration> load_revision(configuration_revision revision);

    /// Makes the configuration current as the revision after `base`, which must be the result of `load_current`.
    /// Errors: invalid_argument (findings or too large), unavailable or conflict (the submission has no effect),
    /// outcome_unknown (it may have been committed; the audit record of the next revision then contains its tag).
    result<submission_outcome> submit(const stored_configuration& base, const submission& requested);

private:
    struct pending_submission;

    result<std::string> load_content(const configuration_pointer& pointer);
    result<stored_configuration> parse_stored(configuration_pointer pointer, std::int64_t mod_revision);
    result<bool> write_leading_chunks(pending_submission& pending);
    result<bool> write_chunk(pending_submission& pending, std::size_t number);
    store_transaction pointer_transaction(const pending_submission& pending) const;
    result<std::optional<submission_outcome>> try_commit(pending_submission& pending);
    submission_outcome describe_conflict(const pending_submission& pending);
    result<store_transaction_result> commit_with_retries(const store_transaction& transaction,
                                                         bool& outcome_is_unknown);

    platform_store& m_store;
    std::size_t m_chunk_bytes;
};

} // namespace ragworthinge
