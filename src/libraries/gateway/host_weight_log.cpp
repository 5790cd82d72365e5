#include "gateway/host_weight_log.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace ragworthinge {

void host_weight_log::update(std::span<const entry_host> hosts, const host_rooms& rooms, time_point now) {
    if (m_logged_at && now - *m_logged_at < m_options.least_period)
        return;
    const std::vector<double> weights = rooms.weights(hosts);
    const bool has_kinds = std::adjacent_find(weights.begin(), weights.end(), std::not_equal_to<>()) != weights.end();
    if (m_logged.empty() && !has_kinds)
        return;
    for (std::size_t index = 0; index < hosts.size(); ++index) {
        double& logged = m_logged[hosts[index].name];
        if (weights[index] <= logged * m_options.logged_change && logged <= weights[index] * m_options.logged_change)
            continue;
        m_logged_at = now;
        m_log.write(log_level::info, "host_weight", field("named_host", hosts[index].name),
                    field("requests_per_second", weights[index]), field("before", logged),
                    field("body_bytes", rooms.body_bytes()));
        logged = weights[index];
    }
}

} // namespace ragworthinge
