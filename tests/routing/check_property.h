#pragma once

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdint>
#include <sstream>
#include <utility>

namespace ragworthinge {

/// Checks a property with a fixed seed, so that every run uses the same inputs.
template <class Property>
void check_property(std::uint64_t seed, int successes, Property property) {
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = successes;
    const auto outcome = rc::detail::checkTestable(std::move(property), rc::detail::TestMetadata(), params);
    std::ostringstream text;
    rc::detail::printResultMessage(outcome, text);
    INFO(text.str());
    REQUIRE(outcome.template is<rc::detail::SuccessResult>());
}

} // namespace ragworthinge
