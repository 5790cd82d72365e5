#pragma once

#include "configuration/fleet_configuration.h"
#include "configuration/object_reader.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ragworthinge {

/// Checks what concerns more than one field: duplicates, references, routes, addresses, digests, shifts and sums.
/// Types and ranges are checked while reading. Paths in the problems use the order of the lists.
class configuration_validator {
public:
    explicit configuration_validator(const fleet_configuration& configuration) : m_configuration(configuration) {}

    std::vector<located_problem> validate();

private:
    using index = std::map<std::string, std::size_t, std::less<>>;

    void check_regions();
    void check_links();
    void check_services();
    void check_upstream(const upstream_configuration& upstream, const std::string& path);
    void check_address(const upstream_configuration& upstream, const std::string& path);
    void check_routes();
    void check_route(const route_configuration& route, const std::string& path);
    void check_prefix_pairs();
    void check_accounts();
    void check_keys();
    void check_shifts();
    void check_shift(const shift_configuration& shift, const std::string& path);
    void check_shift_sums();
    void check_drains();
    void check_drain_target(const std::string& target, const std::string& path);
    void check_client_blocks();

    void report(std::string path, std::string message, std::string suggestion = {});
    bool add_name(index& names, const std::string& name, std::size_t position, const std::string& path,
                  std::string_view kind);
    void check_reference(const index& names, const std::string& name, const std::string& path, std::string_view kind);

    const fleet_configuration& m_configuration;
    std::vector<located_problem> m_problems;
    index m_regions;
    index m_failure_domains; ///< Value: index of the region.
    index m_services;
    index m_upstreams;
    index m_accounts;
    std::map<std::pair<region_id, region_id>, double> m_links;
    std::map<std::pair<std::string, std::uint16_t>, std::string> m_upstream_addresses;
};

/// Shorthand for one use of the validator.
std::vector<located_problem> validate_configuration(const fleet_configuration& configuration);

/// Whether a shift still moves or will move traffic.
bool is_active(shift_state state) noexcept;

} // namespace ragworthinge
