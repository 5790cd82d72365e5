#pragma once

#include "configuration/fleet_configuration.h"
#include "configuration/object_reader.h"

#include <string>
#include <vector>

namespace ragworthinge {

/// Finds entries of a valid configuration that can never take effect, and limits that contradict each other. Such a
/// configuration may be put in force: an operator may prepare an entry that another one will complete.
class configuration_reviewer {
public:
    explicit configuration_reviewer(const fleet_configuration& configuration) : m_configuration(configuration) {}

    std::vector<located_problem> review();

private:
    void review_services();
    void review_service_capacity(const service_configuration& service, const std::string& path);
    void review_routes();
    void review_nested_route(const route_configuration& route, const std::string& path);
    void review_accounts();
    void review_shifts();
    void review_shift(const shift_configuration& shift, const std::string& path);
    void review_client_blocks();

    bool has_key(const account_id& account) const;
    bool is_drained(const upstream_configuration& upstream) const;
    /// The route that would take the requests if this one did not exist; null if there is none.
    const route_configuration* next_shorter_route(const route_configuration& route) const;
    void report(std::string path, std::string message, std::string suggestion = {});

    const fleet_configuration& m_configuration;
    std::vector<located_problem> m_problems;
};

/// Shorthand for one use of the reviewer.
std::vector<located_problem> review_configuration(const fleet_configuration& configuration);

} // namespace ragworthinge
