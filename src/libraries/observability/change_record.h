#pragma once

#include "base/identifiers.h"
#include "base/result.h"
#include "base/time.h"

#include <string>
#include <string_view>

namespace ragworthinge {

/// Audit record of a configuration change. Stored in the same transaction as the change.
struct change_record {
    std::string who;                          ///< Name of the operator token.
    wall_time at;                             ///< Stored with a resolution of 1 ms.
    configuration_revision base_revision = 0; ///< Revision on which the operator based the change.
    configuration_revision new_revision = 0;
    std::string cause;      ///< The operator's comment.
    std::string difference; ///< Textual difference of the two revisions.

    /// Returns the record as a JSON object.
    std::string to_json() const;

    /// Parses the output of `to_json`. Fails with protocol_violation; the message names a missing or invalid field.
    static result<change_record> from_json(std::string_view text);
};

/// Store key of the audit record for a revision.
std::string change_store_key(configuration_revision revision);

} // namespace ragworthinge
