#pragma once

#include "base/result.h"
#include "steering/account_limiter.h"
#include "steering/fleet_report.h"

#include <string>
#include <string_view>

namespace ragworthinge {

class record_reader;
class record_writer;

/// Appends a position as two numbers, the era and the revision.
void write_position(record_writer& writer, const store_position& position);

/// Error: protocol_violation.
result<store_position> read_position(record_reader& reader);

std::string write_host_report(const host_report& report);

/// Error: protocol_violation.
result<host_report> read_host_report(std::string_view text);

/// Serializes a region report, for messages between reporters.
std::string write_region_report(const region_report& regional_report);

/// Error: protocol_violation.
result<region_report> read_region_report(std::string_view text);

std::string write_region_update_request(const region_update_request& update_request);

/// Error: protocol_violation.
result<region_update_request> read_region_update_request(std::string_view text);

/// Serializes a reporter's reply to a host of its region. Lists of upstreams and objects are packed as binary numbers.
std::string write_region_update(const region_update& update);

/// Error: protocol_violation.
result<region_update> read_region_update(std::string_view text);

std::string write_pool_grant(const pool_grant& granted);

/// Error: protocol_violation.
result<pool_grant> read_pool_grant(std::string_view text);

} // namespace ragworthinge
