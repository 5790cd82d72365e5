#include "gateway/reported_load.h"

#include <charconv>
#include <cmath>

namespace ragworthinge {

namespace {

constexpr double usual_percent = 100;

/// Removes and returns the text before the first comma, without the spaces around it.
std::string_view take_figure(std::string_view& text) {
    const std::size_t end = text.find(',');
    std::string_view figure = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    while (figure.starts_with(' '))
        figure.remove_prefix(1);
    while (figure.ends_with(' '))
        figure.remove_suffix(1);
    return figure;
}

template <typename Number, typename... Format>
std::optional<Number> parse_whole(std::string_view text, Format... format) {
    Number number = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number, format...);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
        return std::nullopt;
    return number;
}

} // namespace

std::optional<reported_load> parse_reported_load(std::string_view text) {
    const auto running = parse_whole<unsigned>(take_figure(text));
    const auto waiting = parse_whole<unsigned>(take_figure(text));
    if (!running || !waiting)
        return std::nullopt;
    reported_load load{.running = *running, .waiting = *waiting, .work_factor = std::nullopt};
    take_figure(text); // The slots are known from the upstream's description.
    const auto percent = parse_whole<double>(take_figure(text), std::chars_format::fixed);
    // The conversion also accepts the names of infinity and of values that are not numbers.
    if (percent && std::isfinite(*percent) && *percent > 0)
        load.work_factor = *percent / usual_percent;
    return load;
}

} // namespace ragworthinge
