#pragma once

#include "base/identifiers.h"
#include "base/time.h"

#include <string>
#include <vector>

namespace ragworthinge {

/// An upstream or region that was considered for a request.
struct explained_candidate {
    std::string name;
    bool chosen = false;
    std::string reason; ///< Why it was or was not chosen.
};

/// A fleet-wide budget that was checked for a request.
struct explained_budget {
    std::string name;
    double available = 0; ///< Units available in this host's share at the time of the decision.
    double needed = 0;    ///< Units that the request needs.
};

/// Explanation of the decisions made for one request.
struct explain_record {
    request_id request;
    account_id account; ///< Empty for requests without a key on routes that need none.
    service_id service;
    wall_time at;
    std::vector<explained_candidate> candidates;
    std::vector<explained_budget> budgets;
    std::string rule;    ///< Name of the rule that determined the decision.
    std::string outcome; ///< Status and X-Ragworthinge-Outcome, or the upstream that answered.

    /// Returns the record as a JSON object for the control endpoint.
    std::string to_json() const;
};

} // namespace ragworthinge
