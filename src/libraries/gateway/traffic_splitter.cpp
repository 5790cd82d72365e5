#include "gateway/traffic_splitter.h"

#include "steering/fleet_state.h"

#include <algorithm>

namespace ragworthinge {

const service_id& traffic_splitter::choose(const steering_route& route) {
    if (route.parts.size() == 1)
        return route.parts.front().service;
    auto& current_weights = m_current_weights[route.name];
    current_weights.resize(route.parts.size(), 0);
    double total = 0;
    for (std::size_t index = 0; index < route.parts.size(); ++index) {
        current_weights[index] += route.parts[index].weight;
        total += route.parts[index].weight;
    }
    const auto selected = std::max_element(current_weights.begin(), current_weights.end());
    *selected -= total;
    return route.parts[static_cast<std::size_t>(selected - current_weights.begin())].service;
}

bool has_usable_upstream(const fleet_state& fleet, const steering_route& route, time_point now) {
    return std::any_of(route.parts.begin(), route.parts.end(), [&](const traffic_part& part) {
        const auto upstreams = fleet.upstreams_of(part.service);
        return std::any_of(upstreams.begin(), upstreams.end(),
                           [&](const auto& one) { return one->is_usable_except_quiet(now); });
    });
}

} // namespace ragworthinge
