#include "host/budget_json.h"

#include <boost/json.hpp>

#include <cstdint>
#include <stdexcept>

namespace ragworthinge {

namespace json = boost::json;

std::string read_text(const json::value& value) {
    return json::value_to<std::string>(value);
}

json::value to_json(const holder_id& holder) {
    return json::array{holder.host, holder.run};
}

holder_id read_holder(const json::value& value) {
    return {.host = read_text(value.at(0)), .run = value.at(1).to_number<std::uint64_t>()};
}

json::value to_json(const budget_id& budget) {
    return json::array{static_cast<unsigned>(budget.kind), budget.name};
}

budget_id read_budget(const json::value& value) {
    const auto kind = value.at(0).to_number<unsigned>();
    if (kind > static_cast<unsigned>(budget_kind::shift_cap))
        throw std::out_of_range("budget kind");
    return {.kind = static_cast<budget_kind>(kind), .name = read_text(value.at(1))};
}

json::value to_json(const amount& value) {
    return json::array{value.rate, value.burst};
}

amount read_amount(const json::value& value) {
    return {.rate = value.at(0).to_number<units>(), .burst = value.at(1).to_number<units>()};
}

} // namespace ragworthinge
