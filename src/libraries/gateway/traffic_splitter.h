#pragma once

#include "steering/steering_configuration.h"

#include <map>
#include <string>
#include <vector>

namespace ragworthinge {

/// Divides the requests of a route among its services by smooth weighted round robin, so that even a short sequence of
/// requests has the configured shares.
class traffic_splitter {
public:
    /// Selects the service for the route's next request.
    const service_id& choose(const steering_route& route);

private:
    std::map<std::string, std::vector<double>> m_current_weights; ///< By route name; one per service.
};

} // namespace ragworthinge
