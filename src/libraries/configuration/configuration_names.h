#pragma once

#include "configuration/fleet_configuration.h"

#include <string_view>

namespace ragworthinge {

std::string_view to_string(upstream_state state) noexcept;
std::string_view to_string(shift_state state) noexcept;
std::string_view to_string(drain_state state) noexcept;

} // namespace ragworthinge
