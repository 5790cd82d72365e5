#pragma once

#include "base/identifiers.h"
#include "base/result.h"
#include "base/time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace ragworthinge {

/// A stored value with the revisions that compare-and-swap needs.
struct store_entry {
    std::string key;
    std::string value;
    std::int64_t create_revision = 0; ///< Store revision at which the key was created.
    std::int64_t mod_revision = 0;    ///< Store revision of the last change.
};

/// Condition of a transaction: the key's revision field equals a value. Zero means that the key does not exist.
struct store_compare {
    std::string key;
    std::int64_t mod_revision = 0;
};

/// One operation of a transaction.
struct store_operation {
    enum class kind { put, get, remove };
    kind type = kind::put;
    std::string key;
    std::string value;      ///< Only for put.
    std::int64_t lease = 0; ///< Only for put; zero means no lease.
};

/// All comparisons hold: `success` runs; otherwise `failure` runs. Either way in one atomic step.
struct store_transaction {
    std::vector<store_compare> compares;
    std::vector<store_operation> success;
    std::vector<store_operation> failure;
};

/// Outcome of a transaction that was answered.
struct store_transaction_result {
    bool succeeded = false;
    std::int64_t revision = 0;        ///< Store revision after the transaction.
    std::vector<store_entry> entries; ///< Results of the get operations that ran; absent keys are left out.
};

/// Outcome of a prefix read.
struct store_range {
    std::vector<store_entry> entries;
    std::int64_t revision = 0; ///< Store revision that the read reflects.
};

/// One change seen by a watch; a removed key has no value.
struct store_event {
    std::string key;
    std::optional<std::string> value;
    std::int64_t mod_revision = 0;
};

/// The platform's key-value store. Calls block the calling fiber until an answer or the deadline.
/// Errors: unavailable (no effect), outcome_unknown (a write may have taken effect), timeout (a read had no answer),
/// budget_exhausted (this host's call budget is used up, or the store refused the call; no effect), not_found (the
/// lease has ended; a transaction that names it had no effect), protocol_violation (the store's answer makes no sense).
class platform_store {
public:
    platform_store() = default;
    platform_store(const platform_store&) = delete;
    platform_store& operator=(const platform_store&) = delete;
    virtual ~platform_store() = default;

    /// Reads one key; an absent key gives an empty optional.
    virtual result<std::optional<store_entry>> get(const std::string& key) = 0;

    /// Reads all keys that start with the prefix.
    virtual result<store_range> get_prefix(const std::string& prefix) = 0;

    /// Runs a transaction.
    virtual result<store_transaction_result> commit(const store_transaction& transaction) = 0;

    /// Creates a lease with the given time to live and returns its id.
    virtual result<std::int64_t> grant_lease(std::chrono::seconds ttl) = 0;

    /// Extends a lease; returns the remaining time, or not_found if the lease has ended.
    virtual result<std::chrono::seconds> keep_lease_alive(std::int64_t lease) = 0;

    /// Time after which a watch without changes ends. Stores that stream changes have no such time.
    virtual void set_watch_time(std::chrono::milliseconds /*time*/) {}

    /// Delivers all changes below the prefix after `from_revision` until the callback returns false or the stream ends.
    /// Returns the revision up to which events were delivered; not_found means that the history was compacted.
    virtual result<std::int64_t>
    watch_prefix(const std::string& prefix, std::int64_t from_revision,
                 const std::function<bool(const std::vector<store_event>&)>& on_events) = 0;
};

} // namespace ragworthinge
