#pragma once

#include "base/result.h"
#include "steering/account_limiter.h"
#include "steering/fleet_report.h"

#include <string>
#include <string_view>

namespace ragworthinge {

std::string write_fleet_report(const host_report& report);

/// Error: protocol_violation.
result<host_report> read_fleet_report(std::string_view text);

/// Serializes a region report, for messages between reporters.
std::string write_region_digest(const region_report& digest);

/// Error: protocol_violation.
result<region_report> read_region_digest(std::string_view text);

std::string write_bulletin_question(const region_update_request& question);

/// Error: protocol_violation.
result<region_update_request> read_bulletin_question(std::string_view text);

/// Serializes a reporter's reply to a host of its region. Lists of upstreams and objects are packed as binary numbers.
std::string write_region_bulletin(const region_update& bulletin);

/// Error: protocol_violation.
result<region_update> read_region_bulletin(std::string_view text);

std::string write_pool_answer(const pool_grant& answer);

/// Error: protocol_violation.
result<pool_grant> read_pool_answer(std::string_view text);

} // namespace ragworthinge
