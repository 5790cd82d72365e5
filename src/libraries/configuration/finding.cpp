#include "configuration/finding.h"

namespace ragworthinge {

std::string to_text(const finding& problem) {
    std::string text = problem.file;
    text += ":" + std::to_string(problem.position.line) + ":" + std::to_string(problem.position.column) + ": ";
    if (!problem.path.empty())
        text += problem.path + ": ";
    text += problem.message;
    if (!problem.suggestion.empty())
        text += " (" + problem.suggestion + ")";
    return text;
}

boost::json::object to_json(const finding& problem) {
    return {{"file", problem.file}, {"line", problem.position.line}, {"column", problem.position.column},
            {"path", problem.path}, {"message", problem.message},    {"suggestion", problem.suggestion}};
}

std::string to_text(const std::vector<finding>& findings) {
    std::string text;
    for (const auto& problem : findings)
        text += to_text(problem) + "\n";
    return text;
}

} // namespace ragworthinge
