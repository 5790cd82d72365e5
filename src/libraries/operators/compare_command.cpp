#include "configuration/configuration_difference.h"
#include "operators/command_options.h"
#include "operators/commands.h"
#include "operators/configuration_edit.h"
#include "operators/exit_code.h"

#include <boost/program_options/value_semantic.hpp>

#include <algorithm>
#include <charconv>

namespace ragworthinge {

namespace {

std::optional<configuration_revision> parse_revision(const std::string& source) {
    configuration_revision revision = 0;
    const auto [end, failed] = std::from_chars(source.data(), source.data() + source.size(), revision);
    if (failed != std::errc{} || end != source.data() + source.size())
        return std::nullopt;
    return revision;
}

result<fleet_configuration> load_source(const command_options& options, platform_store* store,
                                        const std::string& source) {
    const auto revision = parse_revision(source);
    if (!revision && source != "current")
        return read_configuration_file(options.environment(), source);
    configuration_submitter submitter(*store);
    BOOST_OUTCOME_TRY(auto stored, revision ? submitter.load_revision(*revision) : submitter.load_current());
    return std::move(stored.configuration);
}

bool needs_store(const std::string& source) {
    return source == "current" || parse_revision(source).has_value();
}

result<std::vector<configuration_change>> compare_sources(const command_options& options,
                                                          const std::vector<std::string>& sources) {
    std::unique_ptr<platform_store> store;
    if (std::any_of(sources.begin(), sources.end(), needs_store)) {
        BOOST_OUTCOME_TRY(store, options.connect_store());
    }
    BOOST_OUTCOME_TRY(const auto before, load_source(options, store.get(), sources[0]));
    BOOST_OUTCOME_TRY(const auto after, load_source(options, store.get(), sources[1]));
    return compare_configurations(before, after);
}

int compare(const command_options& options, const std::vector<std::string>& sources) {
    const auto changes = compare_sources(options, sources);
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
    if (std::any_of(sources.begin(), sources.end(), needs_store) && !options.has("store"))
        return options.fail_usage("the option '--store' is required to compare with the store's configuration");
    return environment.run_blocking([&] { return compare(options, sources); });
}

} // namespace ragworthinge
