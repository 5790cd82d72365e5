#include "observability/explain_record.h"

#include <boost/json.hpp>

#include <chrono>

namespace ragworthinge {

std::string explain_record::to_json() const {
    boost::json::array candidate_list;
    for (const explained_candidate& candidate : candidates)
        candidate_list.push_back(
            {{"name", candidate.name}, {"chosen", candidate.chosen}, {"reason", candidate.reason}});
    boost::json::array budget_list;
    for (const explained_budget& budget : budgets)
        budget_list.push_back({{"name", budget.name}, {"available", budget.available}, {"needed", budget.needed}});

    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(at.time_since_epoch());
    const boost::json::object object{{"request_id", request},
                                     {"account", account},
                                     {"service", service},
                                     {"unix_time_ms", milliseconds.count()},
                                     {"candidates", std::move(candidate_list)},
                                     {"budgets", std::move(budget_list)},
                                     {"rule", rule},
                                     {"outcome", outcome}};
    return boost::json::serialize(object);
}

} // namespace ragworthinge
