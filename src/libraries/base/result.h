#pragma once

#include "base/error.h"

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>
#include <boost/outcome/try.hpp>

#include <string>
#include <utility>

namespace ragworthinge {

/// Either a value or an error. Accessing the absent one is undefined, so check first or use BOOST_OUTCOME_TRY.
template <class Value>
using result = boost::outcome_v2::basic_result<Value, error, boost::outcome_v2::policy::all_narrow>;

/// Creates an error that converts to any `result`.
inline auto failure(error_code code, std::string message) {
    return boost::outcome_v2::failure(error{code, std::move(message)});
}

} // namespace ragworthinge
