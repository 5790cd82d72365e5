#include "configuration/fleet_configuration_printer.h"

#include "configuration/configuration_names.h"
#include "configuration/ip_address.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <tuple>

namespace ragworthinge {

namespace {

using boost::json::array;
using boost::json::object;
using boost::json::value;

constexpr std::size_t indentation = 2;
// Above this, a double no longer holds every whole number.
constexpr double largest_exact_integer = 9007199254740992.0;

// The reader accepts three decimals.
constexpr double number_resolution = 1000;
// Sums and products of such numbers differ from them by far less.
constexpr double rounding_noise = 1e-3;

/// Removes rounding noise, and prints whole numbers without a fraction, because 10 and 10.0 must print alike.
/// A number with more decimals is kept, so that the reader refuses it instead of a change going unnoticed.
value number_value(double number) {
    const double scaled = number * number_resolution;
    if (std::abs(scaled - std::round(scaled)) < rounding_noise)
        number = std::round(scaled) / number_resolution;
    if (std::floor(number) == number && std::abs(number) < largest_exact_integer)
        return static_cast<std::int64_t>(number);
    return number;
}

array text_array(std::vector<std::string> texts, bool sorted) {
    if (sorted)
        std::sort(texts.begin(), texts.end());
    array list;
    for (auto& text : texts)
        list.emplace_back(text);
    return list;
}

template <class Element, class Key>
std::vector<Element> sorted_by(std::vector<Element> elements, Key key) {
    std::stable_sort(elements.begin(), elements.end(),
                     [&](const Element& left, const Element& right) { return key(left) < key(right); });
    return elements;
}

template <class Element>
array list_of(const std::vector<Element>& elements, object (*convert)(const Element&)) {
    array list;
    for (const auto& element : elements)
        list.emplace_back(convert(element));
    return list;
}

object region_object(const region_configuration& region) {
    return {{"name", region.name}, {"failure_domains", text_array(region.failure_domains, true)}};
}

object link_object(const link_configuration& link) {
    return {{"from", link.from}, {"to", link.to}, {"megabits_per_second", number_value(link.megabits_per_second)}};
}

object upstream_object(const upstream_configuration& upstream) {
    return {{"name", upstream.name},
            {"address", upstream.address},
            {"port", upstream.port},
            {"region", upstream.region},
            {"failure_domain", upstream.failure_domain},
            {"slots", upstream.slots},
            {"state", to_string(upstream.state)}};
}

object service_object(const service_configuration& service) {
    const auto upstreams =
        sorted_by(service.upstreams, [](const auto& upstream) -> const std::string& { return upstream.name; });
    return {{"name", service.name},
            {"request_timeout_ms", service.request_timeout.count()},
            {"queue_limit", service.queue_limit},
            {"upstreams", list_of(upstreams, upstream_object)}};
}

object route_object(const route_configuration& route) {
    return {{"path_prefix", route.path_prefix},
            {"service", route.service},
            {"open", route.open},
            {"accounts", text_array(route.accounts, true)},
            {"idempotent_methods", text_array(route.idempotent_methods, true)}};
}

object account_object(const account_configuration& account) {
    return {{"name", account.name},
            {"rate_per_second", number_value(account.rate_per_second)},
            {"burst", number_value(account.burst)},
            {"weight", number_value(account.weight)}};
}

object key_object(const key_configuration& key) {
    return {{"id", key.id}, {"account", key.account}, {"digest", key.digest}};
}

object shift_object(const shift_configuration& shift) {
    return {{"id", shift.id},
            {"from", shift.from},
            {"to", shift.to},
            {"services", text_array(shift.services, true)},
            {"cap_requests_per_second", number_value(shift.cap_requests_per_second)},
            {"cap_megabits_per_second", number_value(shift.cap_megabits_per_second)},
            {"ramp_seconds", shift.ramp.count()},
            {"state", to_string(shift.state)}};
}

object drain_object(const drain_configuration& drain) {
    return {
        {"id", drain.id}, {"target", drain.target}, {"starts_at", drain.starts_at}, {"state", to_string(drain.state)}};
}

object client_block_object(const client_block_configuration& block) {
    return {{"prefix", block.prefix}, {"site", block.site}};
}

bool contains_object(const value& content) {
    if (content.is_array())
        return std::any_of(content.get_array().begin(), content.get_array().end(),
                           [](const value& element) { return element.is_object() || contains_object(element); });
    if (content.is_object())
        return std::any_of(content.get_object().begin(), content.get_object().end(), [](const auto& member) {
            return member.value().is_object() || contains_object(member.value());
        });
    return false;
}

void print_scalar(std::string& text, const value& content) {
    if (!content.is_double()) {
        text += boost::json::serialize(content);
        return;
    }
    // Shortest form that reads back equal; Boost.JSON would print an exponent.
    std::array<char, 64> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), content.get_double()).ptr;
    text.append(digits.data(), end);
}

void print_value(std::string& text, const value& content, std::size_t depth);

void print_separator(std::string& text, bool first, bool on_lines, std::size_t depth) {
    if (!first)
        text += on_lines ? "," : ", ";
    if (on_lines)
        text += "\n" + std::string(depth * indentation, ' ');
}

void print_value(std::string& text, const value& content, std::size_t depth) {
    if (!content.is_array() && !content.is_object()) {
        print_scalar(text, content);
        return;
    }
    const bool on_lines = depth == 0 ? content.is_object() || contains_object(content) : contains_object(content);
    bool first = true;
    text += content.is_array() ? '[' : '{';
    if (content.is_array()) {
        for (const auto& element : content.get_array()) {
            print_separator(text, first, on_lines, depth + 1);
            print_value(text, element, depth + 1);
            first = false;
        }
    } else {
        for (const auto& member : content.get_object()) {
            print_separator(text, first, on_lines, depth + 1);
            text += boost::json::serialize(value(member.key())) + ": ";
            print_value(text, member.value(), depth + 1);
            first = false;
        }
    }
    if (on_lines && !first)
        text += "\n" + std::string(depth * indentation, ' ');
    text += content.is_array() ? ']' : '}';
}

} // namespace

object to_json(const fleet_configuration& configuration) {
    const auto by_name = [](const auto& element) {
        return element.name;
    };
    const auto by_id = [](const auto& element) {
        return element.id;
    };
    object document;
    document["revision_comment"] = configuration.revision_comment;
    document["regions"] = list_of(sorted_by(configuration.regions, by_name), region_object);
    document["links"] = list_of(
        sorted_by(configuration.links, [](const auto& link) { return std::tie(link.from, link.to); }), link_object);
    document["services"] = list_of(sorted_by(configuration.services, by_name), service_object);
    document["routes"] = list_of(
        sorted_by(configuration.routes, [](const auto& route) -> const std::string& { return route.path_prefix; }),
        route_object);
    document["client_accounts"] = list_of(sorted_by(configuration.client_accounts, by_name), account_object);
    document["keys"] = list_of(sorted_by(configuration.keys, by_id), key_object);
    document["shifts"] = list_of(sorted_by(configuration.shifts, by_id), shift_object);
    document["drains"] = list_of(sorted_by(configuration.drains, by_id), drain_object);
    document["client_blocks"] = list_of(
        sorted_by(configuration.client_blocks, [](const auto& block) -> const std::string& { return block.prefix; }),
        client_block_object);
    document["lookup"] = object{{"ttl_seconds", configuration.lookup_ttl.count()}};
    return document;
}

std::string print_json(const value& content) {
    std::string text;
    print_value(text, content, 0);
    text += "\n";
    return text;
}

std::string print_configuration(const fleet_configuration& configuration) {
    return print_json(to_json(configuration));
}

} // namespace ragworthinge
