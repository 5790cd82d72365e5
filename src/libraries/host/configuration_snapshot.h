#pragma once

#include "base/result.h"
#include "configuration/fleet_configuration.h"
#include "requests/key_table.h"
#include "requests/route_table.h"

#include <memory>
#include <unordered_map>

namespace ragworthinge {

/// One accepted configuration with the tables derived from it. Never changes; a new revision is a new snapshot.
class configuration_snapshot {
public:
    /// Derives the tables. Errors: invalid_argument if the configuration is not usable.
    static result<std::shared_ptr<const configuration_snapshot>> create(fleet_configuration configuration,
                                                                        const secret_text& fleet_secret);

    const fleet_configuration& configuration() const noexcept { return m_configuration; }
    configuration_revision revision() const noexcept { return m_configuration.revision; }
    const key_table& keys() const noexcept { return m_keys; }
    const route_table& routes() const noexcept { return m_routes; }

    /// Null if there is no service of that name.
    const service_configuration* find_service(const service_id& service) const;

    /// Null if the service has no upstream of that name.
    const upstream_configuration* find_upstream(const service_id& service, const upstream_id& upstream) const;

private:
    configuration_snapshot(fleet_configuration configuration, key_table keys, route_table routes);

    fleet_configuration m_configuration;
    key_table m_keys;
    route_table m_routes;
    std::unordered_map<service_id, const service_configuration*> m_services;
};

} // namespace ragworthinge
