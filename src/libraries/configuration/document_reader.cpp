#include "configuration/document_reader.h"

#include <boost/json/monotonic_resource.hpp>
#include <boost/json/parser.hpp>

namespace ragworthinge {

namespace {

// Both documents nest at most six levels; the limit keeps hostile input from exhausting the stack.
constexpr std::size_t maximum_depth = 32;

boost::json::parse_options reader_options() {
    boost::json::parse_options options;
    options.allow_comments = true;
    options.max_depth = maximum_depth;
    return options;
}

std::string parent_of(const std::string& path) {
    const auto cut = path.find_last_of(".[");
    return cut == std::string::npos ? std::string{} : path.substr(0, cut);
}

std::string syntax_suggestion(std::string_view text, std::size_t offset) {
    if (offset >= text.size())
        return "the text ends too early; a bracket or quote may be missing";
    const auto before = text.substr(0, offset).find_last_not_of(" \t\r\n");
    const bool after_comma = before != std::string_view::npos && text[before] == ',';
    if (after_comma && (text[offset] == '}' || text[offset] == ']'))
        return "remove the comma before the closing bracket";
    if (text[offset] == '"')
        return "a comma or colon may be missing before it";
    return {};
}

std::vector<finding> find_duplicates(const std::string& file, std::string_view text) {
    std::vector<finding> findings;
    const position_scanner::visitor visit = [&](const std::string& path, const document_place& place, bool duplicate) {
        if (duplicate)
            findings.push_back({file, place.name, path, "the field occurs twice", "keep one of them"});
    };
    position_scanner(text, visit).scan();
    return findings;
}

} // namespace

document_place document::place_of(std::string path) const {
    if (m_places.empty()) {
        const position_scanner::visitor visit = [this](const std::string& found, const document_place& place, bool) {
            m_places.insert_or_assign(found, place);
        };
        position_scanner(m_text, visit).scan();
    }
    while (true) {
        const auto place = m_places.find(path);
        if (place != m_places.end())
            return place->second;
        if (path.empty())
            return {{1, 1}, {1, 1}};
        path = parent_of(path);
    }
}

read_document_result read_document(std::string file, std::string_view text) {
    boost::json::parser parser({}, reader_options());
    // One arena instead of an allocation per value; it is freed with the document.
    parser.reset(boost::json::make_shared_resource<boost::json::monotonic_resource>());
    boost::system::error_code failed;
    const auto consumed = parser.write_some(text.data(), text.size(), failed);
    std::string message = failed ? failed.message() : std::string{};
    if (!failed && consumed < text.size())
        message = "unexpected text after the document";
    if (!message.empty()) {
        finding problem{file, position_at(text, consumed), "",
                        message == "syntax error" ? message : "syntax error: " + message,
                        syntax_suggestion(text, consumed)};
        return {document(std::move(file), std::string(text), nullptr), {std::move(problem)}, false};
    }
    auto duplicates = find_duplicates(file, text);
    return {document(std::move(file), std::string(text), parser.release()), std::move(duplicates), true};
}

} // namespace ragworthinge
