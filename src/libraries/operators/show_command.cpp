#include "configuration/fleet_configuration_printer.h"
#include "operators/command_options.h"
#include "operators/commands.h"
#include "operators/configuration_submitter.h"
#include "operators/exit_code.h"

#include <boost/program_options/value_semantic.hpp>

namespace ragworthinge {

namespace {

result<stored_configuration> load_requested(const command_options& options) {
    BOOST_OUTCOME_TRY(const auto store, options.connect_store());
    configuration_submitter submitter(*store);
    if (options.has("revision"))
        return submitter.load_revision(options.get<std::int64_t>("revision"));
    BOOST_OUTCOME_TRY(auto current, submitter.load_current());
    if (current.pointer.revision == 0)
        return failure(error_code::not_found, "the store does not contain a configuration");
    return current;
}

int show(const command_options& options) {
    const auto stored = load_requested(options);
    if (!stored)
        return options.fail(stored.error());
    const auto& pointer = stored.value().pointer;
    // The configuration format allows comments, so the output with this header line can be submitted again.
    options.print("// revision " + std::to_string(pointer.revision) + ", digest " + pointer.digest + "\n" +
                      print_configuration(stored.value().configuration),
                  boost::json::object{{"revision", pointer.revision},
                                      {"digest", pointer.digest},
                                      {"configuration", to_json(stored.value().configuration)}});
    return exit_success;
}

} // namespace

int run_show_command(command_environment& environment, const std::vector<std::string>& arguments) {
    command_options options(environment, "show --store IP:PORT [--revision REVISION]",
                            "Prints the configuration in force, or an earlier one.");
    options.add_store();
    options.add()("revision", boost::program_options::value<std::int64_t>(), "revision to print");
    if (const auto code = options.parse(arguments))
        return *code;
    return environment.run_blocking([&] { return show(options); });
}

} // namespace ragworthinge
