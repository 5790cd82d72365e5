#include "configuration/nearest_name.h"

#include <algorithm>
#include <numeric>

namespace ragworthinge {

namespace {

// Bounds the quadratic work on hostile input; real names are at most 64 characters.
constexpr std::size_t longest_compared_word = 128;
constexpr std::size_t most_listed_names = 8;

} // namespace

std::size_t edit_distance(std::string_view left, std::string_view right) {
    std::vector<std::size_t> before_previous(right.size() + 1);
    std::vector<std::size_t> previous(right.size() + 1);
    std::vector<std::size_t> current(right.size() + 1);
    std::iota(previous.begin(), previous.end(), std::size_t{0});
    for (std::size_t i = 1; i <= left.size(); ++i) {
        current[0] = i;
        for (std::size_t j = 1; j <= right.size(); ++j) {
            const std::size_t replace = previous[j - 1] + (left[i - 1] == right[j - 1] ? 0 : 1);
            current[j] = std::min({replace, previous[j] + 1, current[j - 1] + 1});
            const bool swapped = i > 1 && j > 1 && left[i - 1] == right[j - 2] && left[i - 2] == right[j - 1];
            if (swapped)
                current[j] = std::min(current[j], before_previous[j - 2] + 1);
        }
        std::swap(before_previous, previous);
        std::swap(previous, current);
    }
    return previous[right.size()];
}

std::string nearest_name(std::string_view word, const std::vector<std::string>& known) {
    if (word.size() > longest_compared_word)
        return {};
    std::string best;
    // More than a third of the characters wrong is more likely another word than a typing error.
    std::size_t best_distance = std::max<std::size_t>(2, word.size() / 3) + 1;
    for (const auto& name : known) {
        const auto distance = edit_distance(word, name);
        if (distance < best_distance && distance < name.size()) {
            best = name;
            best_distance = distance;
        }
    }
    return best;
}

std::string suggest_name(std::string_view word, const std::vector<std::string>& known) {
    const auto nearest = nearest_name(word, known);
    if (!nearest.empty())
        return "did you mean '" + nearest + "'?";
    if (known.empty())
        return {};
    std::string list = "known: ";
    for (std::size_t i = 0; i < std::min(known.size(), most_listed_names); ++i)
        list += (i == 0 ? "" : ", ") + known[i];
    return known.size() > most_listed_names ? list + ", ..." : list;
}

} // namespace ragworthinge
