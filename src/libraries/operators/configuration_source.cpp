#include "operators/configuration_source.h"

#include "operators/configuration_edit.h"

#include <charconv>
#include <optional>

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

} // namespace

bool is_stored_source(const std::string& source) {
    return source == "current" || parse_revision(source).has_value();
}

result<std::vector<configuration_change>> compare_sources(const command_options& options, const std::string& before,
                                                          const std::string& after) {
    std::unique_ptr<platform_store> store;
    if (is_stored_source(before) || is_stored_source(after)) {
        BOOST_OUTCOME_TRY(store, options.connect_store());
    }
    BOOST_OUTCOME_TRY(const auto earlier, load_source(options, store.get(), before));
    BOOST_OUTCOME_TRY(const auto later, load_source(options, store.get(), after));
    return compare_configurations(earlier, later);
}

} // namespace ragworthinge
