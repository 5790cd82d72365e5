#pragma once

#include "configuration/object_reader.h"

#include <boost/json/object.hpp>

#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ragworthinge {

/// Reads a document of settings with `read`, a function from `object_reader&` to the settings. `Result` has the members
/// settings and findings; all findings are collected with their places.
template <class Result, class Read>
Result read_settings_document(const std::string& file, std::string_view text, Read read) {
    auto source = read_document(file, text);
    if (!source.has_value)
        return {{}, std::move(source.findings)};
    reading_context context;
    object_reader reader(context, source.content.value());
    Result outcome{read(reader), std::move(source.findings)};
    const auto located = locate_problems(context.problems, source.content);
    outcome.findings.insert(outcome.findings.end(), located.begin(), located.end());
    return outcome;
}

/// Paths of all fields that `read` knows, sorted.
template <class Read>
std::vector<std::string> settings_fields(Read read) {
    std::set<std::string> fields;
    reading_context context;
    context.known_fields = &fields;
    const boost::json::value empty = boost::json::object{};
    object_reader reader(context, empty);
    read(reader);
    return {fields.begin(), fields.end()};
}

} // namespace ragworthinge
