#pragma once

#include "base/identifiers.h"
#include "base/result.h"
#include "base/store_position.h"
#include "base/time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace ragworthinge {

/// A stored key and value with the revisions needed for compare-and-swap. They belong to the era of the response that
/// brought them.
struct store_entry {
    std::string key;
    std::string value;
    std::int64_t create_revision = 0; ///< Store revision at which the key was created.
    std::int64_t mod_revision = 0;    ///< Store revision at which the key was last changed.
};

/// Condition of a transaction: the key was last changed at `mod_revision`, or does not exist if that is zero. The store
/// compares it for equality with the key's revision in the era in which it executes the transaction.
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

/// Runs `success` if all comparisons hold, otherwise `failure`. Comparisons and operations are one atomic step.
struct store_transaction {
    std::vector<store_compare> compares;
    std::vector<store_operation> success;
    std::vector<store_operation> failure;
};

/// Result of a transaction to which the store responded.
struct store_transaction_result {
    bool succeeded = false;
    store_position position;          ///< Place of the transaction in the store's history.
    std::vector<store_entry> entries; ///< Results of the get operations that ran; absent keys are omitted.
};

/// Result of a prefix read.
struct store_range {
    std::vector<store_entry> entries;
    store_position position; ///< Place in the store's history at which the keys were read.
};

/// One change reported by a watch; a removed key has no value.
struct store_event {
    std::string key;
    std::optional<std::string> value;
    store_position position;
};

/// The platform's key-value store. Calls block the calling fiber until the response or the deadline.
/// Errors: unavailable (no effect), outcome_unknown (a write may have taken effect), timeout (no response to a read),
/// budget_exhausted (this host's call budget is exhausted, or the store rejected the call; no effect), not_found (the
/// lease has ended; a transaction that names it had no effect), protocol_violation (malformed response of the store).
class platform_store {
public:
    platform_store() = default;
    platform_store(const platform_store&) = delete;
    platform_store& operator=(const platform_store&) = delete;
    virtual ~platform_store() = default;

    /// Reads one key; empty if the key does not exist.
    virtual result<std::optional<store_entry>> get(const std::string& key) = 0;

    /// Reads all keys that start with the prefix.
    virtual result<store_range> get_prefix(const std::string& prefix) = 0;

    /// Runs a transaction.
    virtual result<store_transaction_result> commit(const store_transaction& transaction) = 0;

    /// Creates a lease with the given time to live. Returns its id.
    virtual result<std::int64_t> grant_lease(std::chrono::seconds ttl) = 0;

    /// Extends a lease. Returns its remaining time, or not_found if it has ended.
    virtual result<std::chrono::seconds> keep_lease_alive(std::int64_t lease) = 0;

    /// Sets the time after which a watch without changes ends. Has no effect on stores that stream changes.
    virtual void set_watch_timeout(std::chrono::milliseconds /*time*/) {}

    /// Delivers all changes below the prefix after `from` until the callback returns false or the stream ends. Returns
    /// the position up to which events were delivered, or not_found if the history since `from` does not exist any
    /// more: it was compacted, or the store has come back from a copy.
    virtual result<store_position>
    watch_prefix(const std::string& prefix, store_position from,
                 const std::function<bool(const std::vector<store_event>&)>& on_events) = 0;
};

} // namespace ragworthinge
