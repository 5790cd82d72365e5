#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace ragworthinge {

/// A place in a text; lines and columns count from 1, columns count characters (UTF-8 code points), not bytes.
struct text_position {
    std::uint32_t line = 0;
    std::uint32_t column = 0;

    friend bool operator==(const text_position&, const text_position&) = default;
};

/// One problem in a document.
struct finding {
    std::string file;
    text_position position;
    std::string path; ///< For example "services[0].upstreams[2].port"; empty for the whole document.
    std::string message;
    std::string suggestion; ///< May be empty.
};

/// "FILE:LINE:COLUMN: PATH: MESSAGE (SUGGESTION)" without a line end.
std::string to_text(const finding& problem);

/// The same as an object with the members file, line, column, path, message and suggestion.
boost::json::object to_json(const finding& problem);

/// One line of text per finding.
std::string to_text(const std::vector<finding>& findings);

} // namespace ragworthinge
