#pragma once

#include "base/identifiers.h"
#include "base/result.h"
#include "configuration/configuration_chunks.h"

#include <string>
#include <string_view>

namespace ragworthinge {

/// Audit record of one configuration revision, as stored.
struct audit_record {
    configuration_pointer pointer;
    configuration_revision previous = 0;
    std::string operator_name;
    std::string action;
    std::string time; ///< RFC 3339, UTC.
    std::string comment;
    std::string changes; ///< Differences from the previous revision as text, truncated to 64 KiB.
};

std::string print_audit_record(const audit_record& record);
/// Errors: protocol_violation if the value is malformed.
result<audit_record> parse_audit_record(std::string_view value);

} // namespace ragworthinge
