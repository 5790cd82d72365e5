#include "configuration/configuration_difference.h"

#include "configuration/fleet_configuration_printer.h"

#include <boost/json/serialize.hpp>

#include <array>
#include <map>
#include <set>
#include <string_view>

namespace ragworthinge {

namespace {

using boost::json::value;

std::string text_of(const value& content) {
    if (content.is_string())
        return {content.get_string().data(), content.get_string().size()};
    return boost::json::serialize(content);
}

/// Name of a list element: the first naming field it has.
std::string name_of(const value& element) {
    if (!element.is_object())
        return text_of(element);
    const auto& members = element.get_object();
    if (members.contains("from") && !members.contains("id"))
        return text_of(members.at("from")) + "->" + text_of(members.at("to"));
    constexpr std::array<std::string_view, 4> naming_fields = {"name", "id", "path_prefix", "prefix"};
    for (const auto field : naming_fields)
        if (const auto* name = members.if_contains(field))
            return text_of(*name);
    return boost::json::serialize(element);
}

std::string member_path(std::string path, const std::string& name) {
    path += path.empty() ? "" : ".";
    path += name;
    return path;
}

std::string element_path(std::string path, const std::string& name) {
    path += "[";
    path += name;
    path += "]";
    return path;
}

class comparison {
public:
    explicit comparison(std::vector<configuration_change>& changes) : m_changes(changes) {}

    void compare(const std::string& path, const value& before, const value& after) {
        if (before.is_object() && after.is_object())
            compare_objects(path, before.get_object(), after.get_object());
        else if (before.is_array() && after.is_array())
            compare_arrays(path, before.get_array(), after.get_array());
        else if (before != after)
            m_changes.push_back({difference_kind::changed, path, before, after});
    }

private:
    void compare_objects(const std::string& path, const boost::json::object& before, const boost::json::object& after) {
        // Both come from the printer, so they have the same members.
        for (const auto& member : before) {
            const std::string name(member.key());
            compare(member_path(path, name), member.value(), after.at(name));
        }
    }

    void compare_arrays(const std::string& path, const boost::json::array& before, const boost::json::array& after) {
        std::map<std::string, const value*> old_elements;
        for (const auto& element : before)
            old_elements.emplace(name_of(element), &element);
        std::set<std::string> kept;
        for (const auto& element : after) {
            const auto name = name_of(element);
            const auto place = element_path(path, name);
            const auto old = old_elements.find(name);
            if (old == old_elements.end()) {
                m_changes.push_back({difference_kind::added, place, nullptr, element});
                continue;
            }
            kept.insert(name);
            compare(place, *old->second, element);
        }
        for (const auto& [name, element] : old_elements)
            if (!kept.contains(name))
                m_changes.push_back({difference_kind::removed, element_path(path, name), *element, nullptr});
    }

    std::vector<configuration_change>& m_changes;
};

std::string_view to_string(difference_kind kind) {
    switch (kind) {
    case difference_kind::added:
        return "added";
    case difference_kind::removed:
        return "removed";
    case difference_kind::changed:
        return "changed";
    }
    return "changed";
}

} // namespace

std::vector<configuration_change> compare_configurations(const fleet_configuration& before,
                                                         const fleet_configuration& after) {
    std::vector<configuration_change> changes;
    comparison(changes).compare({}, to_json(before), to_json(after));
    return changes;
}

std::string to_text(const std::vector<configuration_change>& changes) {
    std::string text;
    for (const auto& change : changes) {
        if (change.kind == difference_kind::added)
            text += "+ " + change.path + ": " + boost::json::serialize(change.after);
        else if (change.kind == difference_kind::removed)
            text += "- " + change.path + ": " + boost::json::serialize(change.before);
        else
            text += "~ " + change.path + ": " + boost::json::serialize(change.before) + " -> " +
                    boost::json::serialize(change.after);
        text += "\n";
    }
    return text;
}

boost::json::array to_json(const std::vector<configuration_change>& changes) {
    boost::json::array list;
    for (const auto& change : changes)
        list.push_back(boost::json::object{{"kind", to_string(change.kind)},
                                           {"path", change.path},
                                           {"before", change.before},
                                           {"after", change.after}});
    return list;
}

} // namespace ragworthinge
