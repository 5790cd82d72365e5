#include "operators/command_options.h"
#include "operators/commands.h"
#include "operators/configuration_source.h"
#include "operators/exit_code.h"

#include <boost/program_options/value_semantic.hpp>

#include <algorithm>

namespace ragworthinge {

namespace {

int compare(const command_options& options, const std::vector<std::string>& sources) {
    const auto changes = compare_sources(options, sources[0], sources[1]);
    if (!changes)
        return options.fail(changes.error());
    options.print(changes.value().empty() ? "no differences\n" : to_text(changes.value()),
                  boost::json::object{{"changes", to_json(changes.value())}});
    return exit_success;
}

} // namespace

int run_compare_command(command_environment& environment, const std::vector<std::string>& arguments) {
    namespace options_library = boost::program_options;
    command_options options(
        environment, "compare [BEFORE] AFTER [--store IP:PORT]",
        "Shows the differences between two configurations. Each is a file, a revision or 'current';\n"
        "BEFORE defaults to the configuration in force.");
    options.add()("store", options_library::value<std::vector<std::string>>(), "IP:PORT of the store; repeatable");
    options.add()("source", options_library::value<std::vector<std::string>>()->required(), "file or revision");
    options.add_positional("source", 2);
    if (const auto code = options.parse(arguments))
        return *code;
    auto sources = options.texts("source");
    if (sources.size() == 1)
        sources.insert(sources.begin(), "current");
    if (std::any_of(sources.begin(), sources.end(), is_stored_source) && !options.has("store"))
        return options.fail_usage("the option '--store' is required to compare with the store's configuration");
    return environment.run_blocking([&] { return compare(options, sources); });
}

} // namespace ragworthinge
