#pragma once

#include "configuration/finding.h"
#include "configuration/position_scanner.h"

#include <boost/json/value.hpp>

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ragworthinge {

/// A JSON text with comments, its value and the places of its parts.
class document {
public:
    document(std::string file, std::string text, boost::json::value value)
        : m_file(std::move(file)), m_text(std::move(text)), m_value(std::move(value)) {}

    const std::string& file() const noexcept { return m_file; }
    const boost::json::value& value() const noexcept { return m_value; }

    /// Place of a path. A path that is not in the document gets the place of its nearest ancestor.
    /// The map is built on the first call, so a document without findings does not pay for it.
    document_place place_of(std::string path) const;

private:
    std::string m_file;
    std::string m_text;
    boost::json::value m_value;
    mutable std::unordered_map<std::string, document_place> m_places;
};

/// A document, or the findings that prevented one. The findings may also be present beside a value: a field that
/// occurs twice.
struct read_document_result {
    document content;
    std::vector<finding> findings;
    bool has_value = false;
};

/// Reads JSON with comments. `file` is only used in findings.
read_document_result read_document(std::string file, std::string_view text);

} // namespace ragworthinge
