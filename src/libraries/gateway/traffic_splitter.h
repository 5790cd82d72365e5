#pragma once

#include "base/time.h"
#include "steering/steering_configuration.h"

#include <map>
#include <string>
#include <vector>

namespace ragworthinge {

class fleet_state;

/// Divides the requests of a route among its services by smooth weighted round robin, so that even a short sequence of
/// requests has the configured shares.
class traffic_splitter {
public:
    /// Selects the service for the route's next request.
    const service_id& choose(const steering_route& route);

private:
    std::map<std::string, std::vector<double>> m_current_weights; ///< By route name; one per service.
};

/// Whether a service of the route has an upstream that accepts requests, apart from upstreams that asked for quiet:
/// only the placement knows when these return.
bool has_usable_upstream(const fleet_state& fleet, const steering_route& route, time_point now);

} // namespace ragworthinge
