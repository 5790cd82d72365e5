#pragma once

#include "base/identifiers.h"

#include <tuple>

namespace ragworthinge {

/// One run of the process on one host. A replaced process is a different holder, because the earlier one may be paused
/// rather than dead and still hold shares.
struct holder_id {
    host_id host{};
    incarnation run = 0;

    friend bool operator<(const holder_id& left, const holder_id& right) {
        return std::tie(left.host, left.run) < std::tie(right.host, right.run);
    }
    friend bool operator==(const holder_id&, const holder_id&) = default;
};

} // namespace ragworthinge
