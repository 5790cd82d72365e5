#pragma once

#include "base/result.h"
#include "steering/account_limiter.h"
#include "steering/fleet_report.h"

#include <string>
#include <string_view>

namespace ragworthinge {

std::string write_fleet_report(const fleet_report& report);

/// Error: protocol_violation.
result<fleet_report> read_fleet_report(std::string_view text);

/// Serializes a region report, for messages between reporters.
std::string write_region_digest(const region_digest& digest);

/// Error: protocol_violation.
result<region_digest> read_region_digest(std::string_view text);

std::string write_bulletin_question(const bulletin_question& question);

/// Error: protocol_violation.
result<bulletin_question> read_bulletin_question(std::string_view text);

/// Serializes a reporter's reply to a host of its region. Lists of upstreams and objects are packed as binary numbers.
std::string write_region_bulletin(const region_bulletin& bulletin);

/// Error: protocol_violation.
result<region_bulletin> read_region_bulletin(std::string_view text);

std::string write_pool_answer(const pool_answer& answer);

/// Error: protocol_violation.
result<pool_answer> read_pool_answer(std::string_view text);

} // namespace ragworthinge
