#include "host/configuration_snapshot.h"

#include <algorithm>
#include <utility>

namespace ragworthinge {

configuration_snapshot::configuration_snapshot(fleet_configuration configuration, key_table keys, route_table routes)
    : m_configuration(std::move(configuration)), m_keys(std::move(keys)), m_routes(std::move(routes)) {
    for (const service_configuration& service : m_configuration.services)
        m_services.emplace(service.name, &service);
}

result<std::shared_ptr<const configuration_snapshot>> configuration_snapshot::create(fleet_configuration configuration,
                                                                                     const secret_text& fleet_secret) {
    BOOST_OUTCOME_TRY(auto keys, key_table::create(configuration.keys, fleet_secret));
    BOOST_OUTCOME_TRY(auto routes, route_table::create(configuration.routes));
    return std::shared_ptr<const configuration_snapshot>(
        new configuration_snapshot(std::move(configuration), std::move(keys), std::move(routes)));
}

const service_configuration* configuration_snapshot::find_service(const service_id& service) const {
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : found->second;
}

const upstream_configuration* configuration_snapshot::find_upstream(const service_id& service,
                                                                    const upstream_id& upstream) const {
    const service_configuration* configured = find_service(service);
    if (configured == nullptr)
        return nullptr;
    const auto found = std::ranges::find(configured->upstreams, upstream, &upstream_configuration::name);
    return found == configured->upstreams.end() ? nullptr : &*found;
}

} // namespace ragworthinge
