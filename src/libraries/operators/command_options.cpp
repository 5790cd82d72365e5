#include "operators/command_options.h"

#include "configuration/fleet_configuration_printer.h"
#include "operators/exit_code.h"

#include <boost/program_options/parsers.hpp>
#include <boost/program_options/value_semantic.hpp>

#include <ostream>

namespace ragworthinge {

namespace options = boost::program_options;

command_options::command_options(command_environment& environment, std::string usage, std::string summary)
    : m_environment(environment), m_usage(std::move(usage)), m_summary(std::move(summary)), m_description("Options") {
    add()("help", "print this help");
    add()("output", options::value<std::string>()->default_value("text"), "output format: text or json");
}

void command_options::add_store() {
    add()("store", options::value<std::vector<std::string>>()->required(), "IP:PORT of the store; repeatable");
}

void command_options::add_submission() {
    add_store();
    add()("operator", options::value<std::string>()->required(), "name of the operator, for the audit record");
    add()("comment", options::value<std::string>(), "reason for the change, for the audit record");
    add()("expect", options::value<std::int64_t>(), "reject the change unless this revision is in force");
}

void command_options::add_control() {
    add()("control", options::value<std::vector<std::string>>()->required(),
          "IP:PORT of a host's control endpoint; repeatable");
    add()("token-file", options::value<std::string>()->required(), "file with the operator token");
}

std::optional<int> command_options::parse(const std::vector<std::string>& arguments) {
    try {
        options::store(options::command_line_parser(arguments).options(m_description).positional(m_positional).run(),
                       m_values);
        if (has("help")) {
            *m_environment.output << "usage: ragworthinge " << m_usage << "\n\n"
                                  << m_summary << "\n\n"
                                  << m_description;
            return exit_success;
        }
        options::notify(m_values);
    } catch (const options::error& problem) {
        return fail_usage(problem.what());
    }
    const auto format = get<std::string>("output");
    if (format != "text" && format != "json")
        return fail_usage("--output must be text or json");
    m_is_json = format == "json";
    return std::nullopt;
}

result<std::vector<ip_endpoint>> command_options::endpoints(const char* name) const {
    std::vector<ip_endpoint> endpoints;
    for (const auto& text : texts(name)) {
        auto endpoint = parse_ip_endpoint(text);
        if (!endpoint)
            return failure(error_code::invalid_argument,
                           std::string("--") + name + " " + text + " " + endpoint.error().message);
        endpoints.push_back(std::move(endpoint).value());
    }
    return endpoints;
}

result<std::unique_ptr<platform_store>> command_options::connect_store() const {
    BOOST_OUTCOME_TRY(const auto addresses, endpoints("store"));
    return m_environment.connect_store(addresses);
}

void command_options::print(const std::string& text, const boost::json::value& json) const {
    *m_environment.output << (m_is_json ? print_json(json) : text);
}

int command_options::fail(const error& problem) const {
    *m_environment.errors << "error: " << to_string(problem.code) << ": " << problem.message << "\n";
    return to_exit_code(problem.code);
}

int command_options::fail_usage(const std::string& message) const {
    *m_environment.errors << "error: " << message << "\nusage: ragworthinge " << m_usage << "\n";
    return exit_usage;
}

} // namespace ragworthinge
