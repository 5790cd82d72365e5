#include "configuration/utc_time.h"

#include <array>
#include <cctype>
#include <cstdio>

namespace ragworthinge {

namespace {

constexpr std::string_view time_pattern = "0000-00-00T00:00:00Z";

bool matches_pattern(std::string_view text) {
    if (text.size() != time_pattern.size())
        return false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool digit = std::isdigit(static_cast<unsigned char>(text[i])) != 0;
        if (time_pattern[i] == '0' ? !digit : text[i] != time_pattern[i])
            return false;
    }
    return true;
}

int number_at(std::string_view text, std::size_t offset, std::size_t length) {
    int value = 0;
    for (const char digit : text.substr(offset, length))
        value = value * 10 + (digit - '0');
    return value;
}

} // namespace

result<wall_time> parse_utc_time(std::string_view text) {
    if (!matches_pattern(text))
        return failure(error_code::invalid_argument, "must have the form YYYY-MM-DDTHH:MM:SSZ");
    const std::chrono::year_month_day date{std::chrono::year(number_at(text, 0, 4)),
                                           std::chrono::month(static_cast<unsigned>(number_at(text, 5, 2))),
                                           std::chrono::day(static_cast<unsigned>(number_at(text, 8, 2)))};
    const int hours = number_at(text, 11, 2);
    const int minutes = number_at(text, 14, 2);
    const int seconds = number_at(text, 17, 2);
    if (!date.ok() || hours > 23 || minutes > 59 || seconds > 59)
        return failure(error_code::invalid_argument, "is not a time that exists");
    return std::chrono::sys_days(date) + std::chrono::hours(hours) + std::chrono::minutes(minutes) +
           std::chrono::seconds(seconds);
}

std::string to_utc_text(wall_time time) {
    const auto whole = std::chrono::floor<std::chrono::seconds>(time);
    const auto day = std::chrono::floor<std::chrono::days>(whole);
    const std::chrono::year_month_day date(day);
    const std::chrono::hh_mm_ss clock(whole - day);
    std::array<char, 64> text{};
    const int length =
        std::snprintf(text.data(), text.size(), "%04d-%02u-%02uT%02ld:%02ld:%02ldZ", static_cast<int>(date.year()),
                      static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()),
                      static_cast<long>(clock.hours().count()), static_cast<long>(clock.minutes().count()),
                      static_cast<long>(clock.seconds().count()));
    return {text.data(), static_cast<std::size_t>(length)};
}

} // namespace ragworthinge
