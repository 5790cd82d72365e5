#include "gateway/upstream_signals.h"

#include "base/http_status.h"

#include <charconv>
#include <chrono>
#include <string_view>

namespace ragworthinge {

namespace {

/// Longer times are taken for malformed; they would overflow in sums of times.
constexpr std::chrono::hours max_quiet_time{24 * 365};

/// Parses seconds with an optional fraction. Absent if the text is anything else, including a date.
std::optional<duration> parse_seconds(std::string_view text) {
    double seconds = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, seconds, std::chars_format::fixed);
    const std::chrono::duration<double> time(seconds);
    // The comparison is false for a value that is not a number.
    if (parsed.ec != std::errc{} || parsed.ptr != end || !(seconds >= 0 && time <= max_quiet_time))
        return std::nullopt;
    return std::chrono::duration_cast<duration>(time);
}

} // namespace

upstream_signals read_upstream_signals(const http_response_head& head, const header_field_names& field_names) {
    upstream_signals signals;
    signals.is_leaving = head.fields.find(field_names.leaving) == std::string_view("1");
    const auto retry_after = head.fields.find("Retry-After");
    if (head.status != http_status::service_unavailable || !retry_after)
        return signals;
    signals.quiet_time = parse_seconds(*retry_after);
    if (!signals.quiet_time)
        signals.problem = "Retry-After is not a number of seconds: " + std::string(retry_after->substr(0, 40));
    return signals;
}

} // namespace ragworthinge
