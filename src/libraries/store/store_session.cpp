#include "store/store_session.h"

#include "store/platform_store.h"

#include <algorithm>

namespace ragworthinge {

result<void> store_session::open(time_point now) {
    m_lease.reset();
    BOOST_OUTCOME_TRY(const std::int64_t lease, m_store.grant_lease(m_ttl));
    m_lease = lease;
    m_valid_until = now + m_ttl;
    return boost::outcome_v2::success();
}

result<void> store_session::renew(time_point now) {
    if (!m_lease)
        return failure(error_code::not_found, "the session has no lease");
    const std::int64_t renewed_lease = *m_lease;
    const auto remaining = m_store.keep_lease_alive(renewed_lease);
    if (m_lease != renewed_lease)
        return failure(error_code::conflict, "the lease was replaced while its renewal was in progress");
    if (!remaining) {
        if (remaining.error().code == error_code::not_found)
            m_lease.reset();
        return remaining.error();
    }
    // Responses to renewals may arrive out of order; the latest validity counts.
    m_valid_until = std::max(m_valid_until, now + remaining.value());
    return boost::outcome_v2::success();
}

bool store_session::is_valid(time_point now) const noexcept {
    return m_lease.has_value() && now < m_valid_until;
}

result<void> store_session::confirm(time_point now) {
    if (is_valid(now))
        return boost::outcome_v2::success();
    return renew(now);
}

} // namespace ragworthinge
