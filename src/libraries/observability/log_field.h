#pragma once

#include <chrono>
#include <concepts>
#include <string>
#include <string_view>
#include <type_traits>

namespace ragworthinge {

/// Types that may be logged. Types that hold a secret, such as `secret_text`, or raw bytes, such as `digest`, are
/// excluded, so that logging them does not compile.
template <class Value>
concept loggable = std::is_arithmetic_v<Value> || std::convertible_to<const Value&, std::string_view> ||
    std::same_as<Value, std::chrono::nanoseconds> || std::same_as<Value, std::chrono::microseconds> ||
    std::same_as<Value, std::chrono::milliseconds> || std::same_as<Value, std::chrono::seconds>;

/// Name and reference to the value of a field; formatted only if the event is written.
template <loggable Value>
struct log_field {
    std::string_view name;
    const Value& value;
};

/// Creates a log field. The value must outlive the call that writes the event.
template <loggable Value>
log_field<Value> field(std::string_view name, const Value& value) {
    return {name, value};
}

/// Appends the text in double quotes. Quotes, backslashes and all bytes outside printable ASCII are escaped, so that a
/// value can't inject fields or lines.
void append_quoted(std::string& line, std::string_view text);

/// Appends ` name="value"`. Durations are written in seconds with the suffix `s`.
template <loggable Value>
void append_field(std::string& line, const log_field<Value>& item) {
    line += ' ';
    line += item.name;
    line += '=';
    if constexpr (std::convertible_to<const Value&, std::string_view>)
        append_quoted(line, item.value);
    else if constexpr (std::same_as<Value, bool>)
        append_quoted(line, item.value ? "true" : "false");
    else if constexpr (std::is_arithmetic_v<Value>)
        append_quoted(line, std::to_string(item.value));
    else
        append_quoted(line, std::to_string(std::chrono::duration<double>(item.value).count()) + "s");
}

} // namespace ragworthinge
