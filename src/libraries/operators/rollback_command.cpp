#include "operators/command_options.h"
#include "operators/commands.h"
#include "operators/configuration_edit.h"

#include <boost/program_options/value_semantic.hpp>

namespace ragworthinge {

int run_rollback_command(command_environment& environment, const std::vector<std::string>& arguments) {
    command_options options(environment, "rollback REVISION --store IP:PORT --operator NAME [--restore-keys]",
                            "Submits the content of an earlier revision as a new revision. Keys that were withdrawn\n"
                            "since then stay withdrawn unless --restore-keys is given.");
    options.add_submission();
    options.add()("revision", boost::program_options::value<std::int64_t>()->required(), "revision to restore");
    options.add()("restore-keys", "also restore the keys of that revision");
    options.add_positional("revision", 1);
    if (const auto code = options.parse(arguments))
        return *code;
    const auto revision = options.get<std::int64_t>("revision");
    const auto restore = [&](configuration_submitter& submitter, const stored_configuration& current,
                             submission& requested) -> result<void> {
        BOOST_OUTCOME_TRY(const auto earlier, submitter.load_revision(revision));
        requested.configuration = earlier.configuration;
        // Restoring a key that was withdrawn after a leak would undo its revocation.
        if (!options.has("restore-keys"))
            requested.configuration.keys = current.configuration.keys;
        return boost::outcome_v2::success();
    };
    return submit_edit(options, "rollback to " + std::to_string(revision), restore);
}

} // namespace ragworthinge
