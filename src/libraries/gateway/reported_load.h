#pragma once

#include <optional>
#include <string_view>

namespace ragworthinge {

/// What an upstream reports of its load with a response.
struct reported_load {
    unsigned running = 0;
    unsigned waiting = 0;
    /// Time that work takes at the upstream now, as a multiple of the usual. Absent if it is not reported, or not as a
    /// positive, finite number.
    std::optional<double> work_factor;
};

/// Parses "RUNNING,WAITING,SLOTS[,PERCENT[,...]]". Absent if one of the first two figures is malformed; a malformed
/// fourth figure has no effect on the others.
std::optional<reported_load> parse_reported_load(std::string_view text);

} // namespace ragworthinge
