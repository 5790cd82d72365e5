#include "configuration/configuration_names.h"
#include "operators/command_options.h"
#include "operators/commands.h"
#include "operators/configuration_edit.h"

#include <boost/program_options/value_semantic.hpp>

#include <algorithm>

namespace ragworthinge {

namespace {

namespace options_library = boost::program_options;

shift_configuration make_planned_shift(const command_options& options) {
    shift_configuration shift;
    shift.id = options.text("id");
    shift.from = options.text("from");
    shift.to = options.text("to");
    shift.services = options.texts("service");
    shift.cap_requests_per_second = options.get<double>("cap-requests");
    shift.cap_megabits_per_second = options.get<double>("cap-megabits");
    shift.ramp = std::chrono::seconds(options.get<std::int64_t>("ramp"));
    return shift;
}

/// Key of the store record in which hosts save their decisions about a shift, for example an automatic pause.
std::string shift_record_key(const std::string& id) {
    return "shifts/" + id;
}

int change_shift_state(command_environment& environment, const std::vector<std::string>& arguments,
                       const std::string& verb, const std::string& summary, const std::vector<shift_state>& allowed,
                       shift_state target) {
    command_options options(environment, "shift " + verb + " ID --store IP:PORT --operator NAME", summary);
    options.add_submission();
    options.add()("id", options_library::value<std::string>()->required(), "id of the shift");
    options.add_positional("id", 1);
    if (const auto code = options.parse(arguments))
        return *code;
    const auto id = options.text("id");
    const auto change_state = [&](configuration_submitter&, const stored_configuration&,
                                  submission& requested) -> result<void> {
        auto& shifts = requested.configuration.shifts;
        const auto shift = std::find_if(shifts.begin(), shifts.end(),
                                        [&](const shift_configuration& entry) { return entry.id == id; });
        if (shift == shifts.end())
            return failure(error_code::not_found, "there is no shift '" + id + "'");
        if (std::find(allowed.begin(), allowed.end(), shift->state) == allowed.end())
            return failure(error_code::invalid_argument, "the shift '" + id + "' is " +
                                                             std::string(to_string(shift->state)) + ", cannot " + verb +
                                                             " it");
        shift->state = target;
        // Deletes the record of an automatic pause, which would otherwise keep the shift paused.
        if (verb == "resume")
            requested.removed_keys.push_back(shift_record_key(id));
        return boost::outcome_v2::success();
    };
    return submit_edit(options, "shift " + verb, change_state);
}

} // namespace

int run_shift_plan_command(command_environment& environment, const std::vector<std::string>& arguments) {
    command_options options(environment,
                            "shift plan --id ID --from REGION --to REGION --service NAME... --cap-requests N "
                            "--cap-megabits N --store IP:PORT --operator NAME",
                            "Plans a traffic shift. Use 'shift start' to start it.");
    options.add_submission();
    options.add()("id", options_library::value<std::string>()->required(), "id of the new shift");
    options.add()("from", options_library::value<std::string>()->required(), "region from which traffic is moved");
    options.add()("to", options_library::value<std::string>()->required(), "region to which traffic is moved");
    options.add()("service", options_library::value<std::vector<std::string>>()->required(), "service; repeatable");
    options.add()("cap-requests", options_library::value<double>()->required(), "maximum requests per second to move");
    options.add()("cap-megabits", options_library::value<double>()->required(), "maximum Mbit/s to move");
    options.add()("ramp", options_library::value<std::int64_t>()->default_value(60),
                  "seconds until the cap is reached");
    if (const auto code = options.parse(arguments))
        return *code;
    const auto add_shift = [&](configuration_submitter&, const stored_configuration&,
                               submission& requested) -> result<void> {
        requested.configuration.shifts.push_back(make_planned_shift(options));
        return boost::outcome_v2::success();
    };
    return submit_edit(options, "shift plan", add_shift);
}

int run_shift_start_command(command_environment& environment, const std::vector<std::string>& arguments) {
    return change_shift_state(environment, arguments, "start", "Starts a planned shift.", {shift_state::planned},
                              shift_state::running);
}

int run_shift_pause_command(command_environment& environment, const std::vector<std::string>& arguments) {
    return change_shift_state(environment, arguments, "pause", "Pauses a running shift.", {shift_state::running},
                              shift_state::paused);
}

int run_shift_resume_command(command_environment& environment, const std::vector<std::string>& arguments) {
    return change_shift_state(environment, arguments, "resume",
                              "Resumes a shift that was paused by an operator or automatically by the hosts.",
                              {shift_state::paused, shift_state::running}, shift_state::running);
}

int run_shift_cancel_command(command_environment& environment, const std::vector<std::string>& arguments) {
    return change_shift_state(
        environment, arguments, "cancel", "Cancels a shift; its traffic returns to the original region.",
        {shift_state::planned, shift_state::running, shift_state::paused}, shift_state::cancelled);
}

} // namespace ragworthinge
