#pragma once

#include "escrow/amount.h"
#include "escrow/budget_id.h"
#include "escrow/holder_id.h"

#include <boost/json/value.hpp>

namespace ragworthinge {

// JSON forms shared by control messages and store records. Readers throw on anything else.

boost::json::value to_json(const holder_id& holder);
boost::json::value to_json(const budget_id& budget);
boost::json::value to_json(const amount& value);

holder_id read_holder(const boost::json::value& value);
budget_id read_budget(const boost::json::value& value);
amount read_amount(const boost::json::value& value);
std::string read_text(const boost::json::value& value);

} // namespace ragworthinge
