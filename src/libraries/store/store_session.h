#pragma once

#include "base/result.h"
#include "base/time.h"

#include <cstdint>
#include <optional>

namespace ragworthinge {

class platform_store;

/// A lease together with the time until which it is known to be valid. The owner calls `renew` about three times per
/// ttl, and `is_valid` with a fresh clock reading directly before every step that relies on the lease.
///
/// The validity is counted from the time at which a call was sent, not from the arrival of its response, so it expires
/// on this host before the lease ends in the store. After a pause longer than the ttl, `is_valid` is therefore false. A
/// lease that the store ends early can be detected only by comparing revisions in the transaction that relies on it.
class store_session {
public:
    store_session(platform_store& store, std::chrono::seconds ttl) : m_store(store), m_ttl(ttl) {}

    /// Obtains a new lease; a previous one is not renewed any more and expires. `now` is the time directly before the
    /// call, as in all functions of this class.
    result<void> open(time_point now);

    /// Extends the lease. The error not_found means that it has ended and a new one must be opened; other errors leave
    /// the known validity unchanged.
    result<void> renew(time_point now);

    /// True while the lease is known to be valid.
    bool is_valid(time_point now) const noexcept;

    /// Succeeds if the lease is valid; renews it in the store first if its validity is not known. The call may take
    /// long, so check `is_valid` again with a new clock reading before relying on the lease.
    result<void> confirm(time_point now);

    /// Id of the lease; empty before `open` and after the lease ended.
    std::optional<std::int64_t> lease() const noexcept { return m_lease; }

private:
    platform_store& m_store;
    std::chrono::seconds m_ttl;
    std::optional<std::int64_t> m_lease;
    time_point m_valid_until;
};

} // namespace ragworthinge
