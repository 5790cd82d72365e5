#include "configuration/configuration_names.h"
#include "operators/command_options.h"
#include "operators/commands.h"
#include "operators/configuration_edit.h"

#include <boost/program_options/value_semantic.hpp>

#include <algorithm>

namespace ragworthinge {

namespace {

namespace options_library = boost::program_options;

int change_drain_state(command_environment& environment, const std::vector<std::string>& arguments,
                       const std::string& verb, const std::string& summary, const std::vector<drain_state>& allowed,
                       drain_state target) {
    command_options options(environment, "drain " + verb + " ID --store IP:PORT --operator NAME", summary);
    options.add_submission();
    options.add()("id", options_library::value<std::string>()->required(), "id of the drain");
    options.add_positional("id", 1);
    if (const auto code = options.parse(arguments))
        return *code;
    const auto id = options.text("id");
    const auto change_state = [&](configuration_submitter&, const stored_configuration&,
                                  submission& requested) -> result<void> {
        auto& drains = requested.configuration.drains;
        const auto drain = std::find_if(drains.begin(), drains.end(),
                                        [&](const drain_configuration& entry) { return entry.id == id; });
        if (drain == drains.end())
            return failure(error_code::not_found, "there is no drain '" + id + "'");
        if (std::find(allowed.begin(), allowed.end(), drain->state) == allowed.end())
            return failure(error_code::invalid_argument, "the drain '" + id + "' is " +
                                                             std::string(to_string(drain->state)) + ", cannot " + verb +
                                                             " it");
        drain->state = target;
        return boost::outcome_v2::success();
    };
    return submit_edit(options, "drain " + verb, change_state);
}

} // namespace

int run_drain_plan_command(command_environment& environment, const std::vector<std::string>& arguments) {
    command_options options(environment,
                            "drain plan --id ID --target KIND:NAME [--starts-at TIME] --store IP:PORT --operator NAME",
                            "Plans a drain of an upstream, host, failure_domain or region.");
    options.add_submission();
    options.add()("id", options_library::value<std::string>()->required(), "id of the new drain");
    options.add()("target", options_library::value<std::string>()->required(), "for example failure_domain:north-a");
    options.add()("starts-at", options_library::value<std::string>(),
                  "UTC time YYYY-MM-DDTHH:MM:SSZ; default: immediately");
    if (const auto code = options.parse(arguments))
        return *code;
    const auto add_drain = [&](configuration_submitter&, const stored_configuration&,
                               submission& requested) -> result<void> {
        requested.configuration.drains.push_back(
            {options.text("id"), options.text("target"), options.text("starts-at"), drain_state::planned});
        return boost::outcome_v2::success();
    };
    return submit_edit(options, "drain plan", add_drain);
}

int run_drain_start_command(command_environment& environment, const std::vector<std::string>& arguments) {
    return change_drain_state(environment, arguments, "start", "Starts a planned drain now.", {drain_state::planned},
                              drain_state::running);
}

int run_drain_cancel_command(command_environment& environment, const std::vector<std::string>& arguments) {
    return change_drain_state(environment, arguments, "cancel", "Cancels a drain; its target receives requests again.",
                              {drain_state::planned, drain_state::running}, drain_state::cancelled);
}

} // namespace ragworthinge
