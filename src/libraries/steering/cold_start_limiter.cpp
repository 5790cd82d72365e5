#include "steering/cold_start_limiter.h"

#include "membership/rendezvous_hash.h"

#include <algorithm>
#include <cmath>

namespace ragworthinge {

bool cold_start_limiter::allows(observed_upstream& upstream, double tolerated_per_second, const fleet_membership& fleet,
                                time_point now) const {
    if (!upstream.is_cold(now) || tolerated_per_second <= 0)
        return true;
    const auto ranked = rank_hosts("cold/" + upstream.description().id, fleet.names(now));
    const auto last = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(m_options.senders, ranked.size()));
    if (std::find(ranked.begin(), last, fleet.options().self) == last)
        return false;
    const auto senders = static_cast<double>(last - ranked.begin());
    const double share = std::max(1.0, std::floor(tolerated_per_second / (senders * m_options.margin)));
    return static_cast<double>(upstream.recent_sends(now)) < share;
}

} // namespace ragworthinge
