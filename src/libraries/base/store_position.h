#pragma once

#include <compare>
#include <cstdint>

namespace ragworthinge {

/// Counts how often the store has come back from an older copy of itself. Zero for a store that does not say so.
enum class store_era : std::int64_t {};

/// A place in the store's history. A store that comes back from a copy gives revisions out again, so revisions order
/// places of one era only, and each place of a later era comes after all places of earlier ones. A bare revision does
/// not convert to a place.
struct store_position {
    store_era era{};
    std::int64_t revision = 0; ///< Counts the changes; zero before the first.

    friend constexpr auto operator<=>(const store_position&, const store_position&) = default;
};

constexpr bool is_same_era(const store_position& left, const store_position& right) noexcept {
    return left.era == right.era;
}

/// The number of an era, for messages, logs and metrics.
constexpr std::int64_t number_of(store_era era) noexcept {
    return static_cast<std::int64_t>(era);
}

} // namespace ragworthinge
