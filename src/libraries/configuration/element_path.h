#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace ragworthinge {

/// Path of a list element in findings, for example "routes[2]".
inline std::string element_path(std::string_view list, std::size_t position) {
    return std::string(list) + "[" + std::to_string(position) + "]";
}

} // namespace ragworthinge
