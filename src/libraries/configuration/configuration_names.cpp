#include "configuration/configuration_names.h"

namespace ragworthinge {

std::string_view to_string(upstream_state state) noexcept {
    return state == upstream_state::active ? "active" : "leaving";
}

std::string_view to_string(shift_state state) noexcept {
    switch (state) {
    case shift_state::planned:
        return "planned";
    case shift_state::running:
        return "running";
    case shift_state::paused:
        return "paused";
    case shift_state::finished:
        return "finished";
    case shift_state::cancelled:
        return "cancelled";
    }
    return "planned";
}

std::string_view to_string(drain_state state) noexcept {
    switch (state) {
    case drain_state::planned:
        return "planned";
    case drain_state::running:
        return "running";
    case drain_state::finished:
        return "finished";
    case drain_state::cancelled:
        return "cancelled";
    }
    return "planned";
}

} // namespace ragworthinge
