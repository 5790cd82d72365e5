#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <tuple>

namespace ragworthinge {

/// What a fleet-wide budget limits.
enum class budget_kind : std::uint8_t {
    account_rate,   ///< Requests of one client account.
    upstream_slots, ///< Requests running on one upstream; returned on completion.
    link_bandwidth, ///< Bytes sent in one direction between two regions.
    shift_cap       ///< Requests moved by one planned shift.
};

/// Identifies a fleet-wide budget.
struct budget_id {
    budget_kind kind = budget_kind::account_rate;
    std::string name{};

    friend bool operator<(const budget_id& left, const budget_id& right) {
        return std::tie(left.kind, left.name) < std::tie(right.kind, right.name);
    }
    friend bool operator==(const budget_id&, const budget_id&) = default;
};

/// Slots are given back after use; every other budget refills with time.
inline bool is_returned_after_use(budget_kind kind) {
    return kind == budget_kind::upstream_slots;
}

} // namespace ragworthinge

template <>
struct std::hash<ragworthinge::budget_id> {
    std::size_t operator()(const ragworthinge::budget_id& budget) const noexcept {
        const std::size_t name_hash = std::hash<std::string>{}(budget.name);
        return name_hash ^ (static_cast<std::size_t>(budget.kind) * 0x9e3779b97f4a7c15ULL);
    }
};
