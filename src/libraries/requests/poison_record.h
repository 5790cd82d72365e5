#pragma once

#include "base/identifiers.h"
#include "base/result.h"
#include "base/time.h"

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace ragworthinge {

/// An upstream connection that was lost while the upstream ran a request; counted as a crash of the upstream.
struct upstream_crash {
    std::string id; ///< Unique in the fleet.
    upstream_id upstream;
    failure_domain_id failure_domain;
    wall_time at;
};

/// Crashes that the fleet attributes to a possible poison request. Records with the same fingerprint can be merged in
/// any order, because crashes and cleared ids are only ever added.
struct poison_record {
    std::string fingerprint;
    account_id account; ///< Informational, for operators.
    std::string method; ///< Informational, for operators.
    std::string path;   ///< Informational, for operators; without the query.
    std::vector<upstream_crash> crashes;
    std::set<std::string> cleared; ///< Ids of crashes that a later success or an operator cleared.

    /// Returns the crashes that have not been cleared.
    std::vector<upstream_crash> uncleared_crashes() const;

    /// Adds the crashes and cleared ids of the other record. Returns whether anything was new.
    bool merge(const poison_record& other);

    std::string encode() const;

    /// Fails with protocol_violation on a malformed record.
    static result<poison_record> decode(std::string_view text);
};

} // namespace ragworthinge
