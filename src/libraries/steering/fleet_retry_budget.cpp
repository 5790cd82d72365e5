#include "steering/fleet_retry_budget.h"

#include <algorithm>

namespace ragworthinge {

fleet_retry_budget::service_state& fleet_retry_budget::state_of(const service_id& service) {
    return m_services.try_emplace(service, m_options.window).first->second;
}

void fleet_retry_budget::record_request(const service_id& service, time_point now) {
    state_of(service).requests.record(now);
}

bool fleet_retry_budget::try_spend(const service_id& service, std::size_t hosts, time_point now) {
    service_state& state = state_of(service);
    const double own_allowance = m_options.fixed_allowance / static_cast<double>(std::max<std::size_t>(hosts, 1));
    const double allowed =
        m_options.used_fraction * (m_options.ratio * static_cast<double>(state.requests.count(now)) + own_allowance);
    if (static_cast<double>(state.retries.count(now)) + 1 > allowed)
        return false;
    state.retries.record(now);
    return true;
}

} // namespace ragworthinge
