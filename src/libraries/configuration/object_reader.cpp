#include "configuration/object_reader.h"

#include "configuration/nearest_name.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace ragworthinge {

namespace {

constexpr std::size_t longest_name = 64;
constexpr std::size_t longest_text = 1024;
constexpr double number_resolution = 1000;

std::string_view kind_of(const boost::json::value& value) {
    switch (value.kind()) {
    case boost::json::kind::null:
        return "null";
    case boost::json::kind::bool_:
        return "a boolean";
    case boost::json::kind::int64:
    case boost::json::kind::uint64:
    case boost::json::kind::double_:
        return "a number";
    case boost::json::kind::string:
        return "a text";
    case boost::json::kind::array:
        return "a list";
    case boost::json::kind::object:
        return "an object";
    }
    return "an unknown kind";
}

std::string number_text(double value) {
    std::array<char, 64> text{};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), value).ptr;
    return {text.data(), end};
}

std::string_view as_text(const boost::json::value& value) {
    return {value.get_string().data(), value.get_string().size()};
}

} // namespace

bool is_valid_name(std::string_view text) noexcept {
    const auto allowed = [](char letter) {
        const bool alphanumeric =
            (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') || (letter >= '0' && letter <= '9');
        return alphanumeric || letter == '.' || letter == '_' || letter == '-';
    };
    return !text.empty() && text.size() <= longest_name && std::all_of(text.begin(), text.end(), allowed);
}

std::vector<finding> locate_problems(const std::vector<located_problem>& problems, const document& source) {
    std::vector<finding> findings;
    std::set<std::string> reported;
    for (const auto& problem : problems) {
        // A field that could not be read has a default, about which later checks would complain again.
        if (!reported.insert(problem.path + (problem.at_name ? "\n" : "")).second)
            continue;
        const auto place = source.place_of(problem.path);
        findings.push_back({source.file(), problem.at_name ? place.name : place.value, problem.path, problem.message,
                            problem.suggestion});
    }
    std::stable_sort(findings.begin(), findings.end(), [](const finding& left, const finding& right) {
        return std::pair(left.position.line, left.position.column) <
               std::pair(right.position.line, right.position.column);
    });
    return findings;
}

object_reader::object_reader(reading_context& context, const boost::json::value& value) : m_context(context) {
    check_kind(value);
}

object_reader::object_reader(const object_reader& parent, const boost::json::value& value, std::string_view name,
                             std::size_t index)
    : m_context(parent.m_context), m_parent(&parent), m_name(name), m_index(index) {
    check_kind(value);
}

void object_reader::check_kind(const boost::json::value& value) {
    if (value.is_object())
        m_object = &value.get_object();
    else
        m_context.problems.push_back({path(), "must be an object, found " + std::string(kind_of(value)), {}, false});
}

std::string object_reader::path() const {
    if (m_parent == nullptr)
        return {};
    auto path = m_parent->path_of(m_name);
    if (m_index != no_index)
        path += "[" + std::to_string(m_index) + "]";
    return path;
}

std::string object_reader::path_of(std::string_view name) const {
    auto full = path();
    full += full.empty() ? "" : ".";
    full += name;
    return full;
}

std::string object_reader::schema_path_of(std::string_view name) const {
    if (m_parent == nullptr)
        return std::string(name);
    auto full = m_parent->schema_path_of(m_name);
    full += m_index == no_index ? "." : "[].";
    full += name;
    return full;
}

bool object_reader::has(std::string_view name) const {
    return m_object != nullptr && m_object->contains(name);
}

const boost::json::value* object_reader::find(std::string_view name, presence wanted) {
    m_known.emplace_back(name);
    if (m_context.known_fields != nullptr)
        m_context.known_fields->insert(schema_path_of(name));
    if (m_object == nullptr)
        return nullptr;
    const auto* value = m_object->if_contains(name);
    if (value == nullptr && wanted == presence::required)
        report(name, "the required field is missing", "add \"" + std::string(name) + "\"");
    return value;
}

void object_reader::report(std::string_view name, std::string message, std::string suggestion) {
    m_context.problems.push_back({path_of(name), std::move(message), std::move(suggestion), false});
}

void object_reader::report_type(std::string_view name, std::string_view wanted, const boost::json::value& found) {
    report(name, "must be " + std::string(wanted) + ", found " + std::string(kind_of(found)));
}

std::string object_reader::text(std::string_view name, presence wanted, std::string fallback) {
    const auto* value = find(name, wanted);
    if (value == nullptr)
        return fallback;
    if (!value->is_string()) {
        report_type(name, "a text", *value);
        return fallback;
    }
    const auto content = as_text(*value);
    if (content.empty() && wanted == presence::required)
        report(name, "must not be empty");
    if (content.size() > longest_text) {
        report(name, "must have at most " + std::to_string(longest_text) + " bytes");
        return fallback;
    }
    return std::string(content);
}

void object_reader::check_name(std::string_view name, std::string_view text) {
    if (!is_valid_name(text))
        report(name, "must be a name of 1 to 64 characters", "use letters, digits, '.', '_' and '-'");
}

std::string object_reader::name(std::string_view name, presence wanted) {
    auto content = text(name, wanted);
    if (!content.empty())
        check_name(name, content);
    return content;
}

double object_reader::computed_number(std::string_view name, presence wanted, number_range range, double fallback) {
    const auto* value = find(name, wanted);
    if (value == nullptr)
        return fallback;
    if (!value->is_number()) {
        report_type(name, "a number", *value);
        return fallback;
    }
    const auto content = value->to_number<double>();
    if (!(content >= range.minimum && content <= range.maximum)) {
        report(name, "must be between " + number_text(range.minimum) + " and " + number_text(range.maximum));
        return fallback;
    }
    return content;
}

double object_reader::number(std::string_view name, presence wanted, number_range range, double fallback) {
    const double scaled = computed_number(name, wanted, range, fallback) * number_resolution;
    if (std::abs(scaled - std::round(scaled)) > 1e-3) {
        report(name, "has more than three decimals");
        return fallback;
    }
    return std::round(scaled) / number_resolution;
}

std::int64_t object_reader::integer(std::string_view name, presence wanted, integer_range range,
                                    std::int64_t fallback) {
    const auto* value = find(name, wanted);
    if (value == nullptr)
        return fallback;
    if (!value->is_number()) {
        report_type(name, "a whole number", *value);
        return fallback;
    }
    boost::system::error_code inexact;
    const auto content = value->to_number<std::int64_t>(inexact);
    if (inexact || content < range.minimum || content > range.maximum) {
        report(name, "must be a whole number between " + std::to_string(range.minimum) + " and " +
                         std::to_string(range.maximum));
        return fallback;
    }
    return content;
}

bool object_reader::boolean(std::string_view name, bool fallback) {
    const auto* value = find(name, presence::optional);
    if (value == nullptr)
        return fallback;
    if (value->is_bool())
        return value->get_bool();
    report_type(name, "true or false", *value);
    return fallback;
}

std::size_t object_reader::choice_index(std::string_view name, const std::vector<std::string>& names) {
    const auto* value = find(name, presence::optional);
    if (value == nullptr)
        return names.size();
    if (!value->is_string()) {
        report_type(name, "a text", *value);
        return names.size();
    }
    const auto found = std::find(names.begin(), names.end(), as_text(*value));
    if (found == names.end())
        report(name, "is not one of the known values", suggest_name(as_text(*value), names));
    return static_cast<std::size_t>(found - names.begin());
}

std::vector<std::string> object_reader::texts(std::string_view name, presence wanted) {
    const auto* value = find(name, wanted);
    std::vector<std::string> contents;
    if (value == nullptr)
        return contents;
    if (!value->is_array()) {
        report_type(name, "a list of texts", *value);
        return contents;
    }
    for (const auto& element : value->get_array()) {
        const auto element_name = std::string(name) + "[" + std::to_string(contents.size()) + "]";
        if (!element.is_string())
            report_type(element_name, "a text", element);
        else if (element.get_string().empty() || element.get_string().size() > longest_text)
            report(element_name, "must have 1 to " + std::to_string(longest_text) + " bytes");
        contents.emplace_back(element.is_string() ? as_text(element) : std::string_view{});
    }
    if (contents.empty() && wanted == presence::required)
        report(name, "must not be empty");
    return contents;
}

std::vector<std::string> object_reader::names(std::string_view name, presence wanted) {
    auto contents = texts(name, wanted);
    for (std::size_t i = 0; i < contents.size(); ++i)
        if (!contents[i].empty())
            check_name(std::string(name) + "[" + std::to_string(i) + "]", contents[i]);
    return contents;
}

void object_reader::objects(std::string_view name, presence wanted, const std::function<void(object_reader&)>& each) {
    const auto* value = find(name, wanted);
    if (m_context.known_fields != nullptr) {
        const boost::json::value empty = boost::json::object{};
        object_reader element(*this, empty, name, 0);
        each(element);
        return;
    }
    if (value == nullptr)
        return;
    if (!value->is_array()) {
        report_type(name, "a list of objects", *value);
        return;
    }
    std::size_t index = 0;
    for (const auto& content : value->get_array()) {
        object_reader element(*this, content, name, index++);
        each(element);
        element.finish();
    }
}

void object_reader::object(std::string_view name, presence wanted, const std::function<void(object_reader&)>& read) {
    const auto* value = find(name, presence::optional);
    if (value == nullptr && wanted == presence::optional && m_context.known_fields == nullptr)
        return;
    if (m_object == nullptr)
        return;
    const boost::json::value empty = boost::json::object{};
    object_reader member(*this, value == nullptr ? empty : *value, name, no_index);
    read(member);
    member.finish();
}

void object_reader::finish() {
    if (m_object == nullptr)
        return;
    for (const auto& [member, value] : *m_object) {
        const std::string_view name(member.data(), member.size());
        if (std::find(m_known.begin(), m_known.end(), name) != m_known.end())
            continue;
        m_context.problems.push_back(
            {path_of(name), "unknown field", suggest_name(name, {m_known.begin(), m_known.end()}), true});
    }
}

} // namespace ragworthinge
