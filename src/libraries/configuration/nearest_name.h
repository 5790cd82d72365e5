#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace ragworthinge {

/// Smallest number of inserted, removed, replaced or swapped characters that turns one word into the other.
std::size_t edit_distance(std::string_view left, std::string_view right);

/// The known name closest to the word, or an empty text if none is close enough to be meant.
std::string nearest_name(std::string_view word, const std::vector<std::string>& known);

/// "did you mean 'X'?", or a list of a few known names, or an empty text if there are none.
std::string suggest_name(std::string_view word, const std::vector<std::string>& known);

} // namespace ragworthinge
