#include "base/http_message.h"

#include <algorithm>

namespace ragworthinge {

namespace {

char to_lower_ascii(char letter) noexcept {
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

} // namespace

bool equal_field_names(std::string_view left, std::string_view right) noexcept {
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char a, char b) { return to_lower_ascii(a) == to_lower_ascii(b); });
}

std::optional<std::string_view> http_fields::find(std::string_view name) const {
    for (const http_field& field : m_entries) {
        if (equal_field_names(field.name, name))
            return field.value;
    }
    return std::nullopt;
}

void http_fields::add(std::string_view name, std::string_view value) {
    m_entries.push_back({std::string(name), std::string(value)});
}

void http_fields::set(std::string_view name, std::string_view value) {
    remove(name);
    add(name, value);
}

void http_fields::remove(std::string_view name) {
    std::erase_if(m_entries, [&](const http_field& field) { return equal_field_names(field.name, name); });
}

} // namespace ragworthinge
