#pragma once

#include <algorithm>
#include <cstdint>

namespace ragworthinge {

/// Budget units (requests, slots or bytes) in millionths. Integers keep the sum of all shares exact; sums of floating
/// point shares could exceed the ceiling by rounding.
using units = std::int64_t;

/// One request, slot or byte.
inline constexpr units one_unit = 1'000'000;

/// Size of a share, ceiling or limit.
struct amount {
    units rate = 0;  ///< Millionths of a unit per second.
    units burst = 0; ///< Millionths of a unit; for slots the number of slots.

    friend bool operator==(const amount&, const amount&) = default;

    amount& operator+=(const amount& other) {
        rate += other.rate;
        burst += other.burst;
        return *this;
    }

    amount& operator-=(const amount& other) {
        rate -= other.rate;
        burst -= other.burst;
        return *this;
    }

    friend amount operator+(amount left, const amount& right) { return left += right; }
    friend amount operator-(amount left, const amount& right) { return left -= right; }
};

/// The smaller rate and the smaller burst.
inline amount lower_of(const amount& left, const amount& right) {
    return {.rate = std::min(left.rate, right.rate), .burst = std::min(left.burst, right.burst)};
}

/// The larger rate and the larger burst.
inline amount higher_of(const amount& left, const amount& right) {
    return {.rate = std::max(left.rate, right.rate), .burst = std::max(left.burst, right.burst)};
}

/// True if neither the rate nor the burst exceeds the bound.
inline bool fits(const amount& value, const amount& bound) {
    return value.rate <= bound.rate && value.burst <= bound.burst;
}

} // namespace ragworthinge
