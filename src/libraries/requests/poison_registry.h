#pragma once

#include "base/identifiers.h"
#include "base/time.h"
#include "requests/poison_record.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ragworthinge {

/// Options of `poison_registry`.
struct poison_registry_options {
    host_id host;
    incarnation run = 0;
    std::size_t crashes_to_quarantine = 2;
    std::chrono::seconds quarantine{600};
    std::size_t max_records = 10'000; ///< Bounds memory use if every request crashes its upstream.
};

/// Properties of a request that are recorded in the registry.
struct poison_subject {
    std::string fingerprint; ///< See `request_fingerprint`.
    account_id account;
    std::string method;
    std::string path;
};

/// How one run of a request ended, as far as the registry is concerned.
enum class run_outcome {
    answered,         ///< The upstream responded completely: clears earlier crashes.
    connection_lost,  ///< The upstream's connection was lost while the request ran: counted as a crash.
    upstream_leaving, ///< The connection was lost while the upstream was shutting down: not counted.
    not_dispatched    ///< Nothing was sent to an upstream: not counted.
};

/// States whether a request may be dispatched and which failure domains to avoid.
struct poison_verdict {
    enum class kind {
        run,  ///< Dispatch the request outside the failure domains in `avoid`, if any.
        wait, ///< A request with one crash already runs on this host; a second run could crash two more upstreams.
        quarantined ///< Rejected until `retry_after` has passed.
    };
    kind decision = kind::run;
    std::set<failure_domain_id> avoid; ///< Failure domains in which the request crashed an upstream.
    std::chrono::seconds retry_after{0};
};

/// Detects poison requests, which crash the upstreams that run them, and rejects them on all hosts.
///
/// The host stores every record that `finish` or `release` returns under the key prefix `quarantine/` and passes
/// records of other hosts to `merge`. Times are wall-clock times because records are shared and outlive the process.
class poison_registry {
public:
    explicit poison_registry(poison_registry_options options) : m_options(std::move(options)) {}

    /// Checks a request before its dispatch. If the verdict is `run`, the caller must call `finish` once.
    poison_verdict start(const std::string& fingerprint, wall_time now);

    /// Records how a dispatch to the given upstream ended. Returns the record to store if it changed.
    std::optional<poison_record> finish(const poison_subject& subject, run_outcome end, const upstream_id& upstream,
                                        const failure_domain_id& failure_domain, wall_time now);

    /// Merges the record of another host. If a record is returned it must be stored, because the store then lacks
    /// information that only this host has.
    std::optional<poison_record> merge(const poison_record& record, wall_time now);

    /// Clears all crashes of the request so that it may run again; called on an operator's request. Returns the record
    /// to store, or nullopt if the fingerprint is unknown.
    std::optional<poison_record> release(const std::string& fingerprint);

    /// Returns the records of all requests in quarantine.
    std::vector<poison_record> list(wall_time now) const;

    /// Removes records that no longer have an effect. Returns the fingerprints whose store keys can be removed.
    std::vector<std::string> expire(wall_time now);

    std::size_t size() const noexcept { return m_records.size(); }

private:
    std::vector<upstream_crash> recent_crashes(const poison_record& record, wall_time now) const;
    void evict_if_full();

    poison_registry_options m_options;
    std::map<std::string, poison_record> m_records;    ///< By fingerprint.
    std::map<std::string, std::size_t> m_suspect_runs; ///< Runs on this host of requests with a crash.
    std::uint64_t m_last_crash = 0;
};

/// Returns the store key of a quarantine record.
std::string quarantine_store_key(const std::string& fingerprint);

} // namespace ragworthinge
