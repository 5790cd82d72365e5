#pragma once

#include "operators/command_environment.h"

#include <boost/json/value.hpp>
#include <boost/program_options/options_description.hpp>
#include <boost/program_options/positional_options.hpp>
#include <boost/program_options/variables_map.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ragworthinge {

/// Command line of one subcommand: parses its options and prints its help, results and errors.
class command_options {
public:
    /// `usage` is the synopsis without the program name, for example "submit FILE".
    command_options(command_environment& environment, std::string usage, std::string summary);

    /// Adds options that only this subcommand has.
    boost::program_options::options_description_easy_init add() { return m_description.add_options(); }

    /// Assigns up to `count` positional arguments to the option `name`; -1 means any number.
    void add_positional(const char* name, int count) { m_positional.add(name, count); }

    /// Adds --store.
    void add_store();

    /// Adds --store, --operator, --comment and --expect, for subcommands that submit a configuration.
    void add_submission();

    /// Adds --control and --token-file.
    void add_control();

    /// Parses the arguments. Returns an exit code if the command must not run, after --help or a usage error.
    std::optional<int> parse(const std::vector<std::string>& arguments);

    bool has(const char* name) const { return m_values.count(name) != 0; }

    template <class Value>
    const Value& get(const char* name) const {
        return m_values[name].as<Value>();
    }

    std::string text(const char* name) const { return has(name) ? get<std::string>(name) : std::string{}; }
    std::vector<std::string> texts(const char* name) const {
        return has(name) ? get<std::vector<std::string>>(name) : std::vector<std::string>{};
    }

    /// Parses the values of a repeatable option as endpoints. Errors: invalid_argument.
    result<std::vector<ip_endpoint>> endpoints(const char* name) const;

    result<std::unique_ptr<platform_store>> connect_store() const;

    bool is_json() const { return m_is_json; }

    /// Prints the result on standard output, as text or JSON depending on --output.
    void print(const std::string& text, const boost::json::value& json) const;

    /// Prints an error on standard error and returns its exit code.
    int fail(const error& problem) const;

    /// Prints a usage error on standard error and returns its exit code.
    int fail_usage(const std::string& message) const;

    command_environment& environment() const noexcept { return m_environment; }

private:
    command_environment& m_environment;
    std::string m_usage;
    std::string m_summary;
    boost::program_options::options_description m_description;
    boost::program_options::positional_options_description m_positional;
    boost::program_options::variables_map m_values;
    bool m_is_json = false;
};

} // namespace ragworthinge
