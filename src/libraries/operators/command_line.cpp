#include "operators/command_line.h"

#include "operators/commands.h"
#include "operators/exit_code.h"

#include <algorithm>
#include <array>
#include <ostream>
#include <string_view>

namespace ragworthinge {

namespace {

struct command_entry {
    std::string_view group; ///< Empty if the command consists of a single word.
    std::string_view name;
    std::string_view summary;
    command_function run;
};

constexpr std::array commands = {
    command_entry{"", "host", "run a host of the fleet", run_host_command},
    command_entry{"", "steer", "run an entry host on the platform", run_steer_command},
    command_entry{"", "check", "check a configuration or settings file", run_check_command},
    command_entry{"", "submit", "put a configuration in force", run_submit_command},
    command_entry{"", "show", "print a configuration from the store", run_show_command},
    command_entry{"", "compare", "show the differences between configurations", run_compare_command},
    command_entry{"", "rollback", "put an earlier configuration in force again", run_rollback_command},
    command_entry{"key", "issue", "create a key for a client account", run_key_issue_command},
    command_entry{"key", "withdraw", "revoke a key", run_key_withdraw_command},
    command_entry{"shift", "plan", "plan a traffic shift between regions", run_shift_plan_command},
    command_entry{"shift", "start", "start a planned shift", run_shift_start_command},
    command_entry{"shift", "pause", "pause a running shift", run_shift_pause_command},
    command_entry{"shift", "resume", "resume a paused shift", run_shift_resume_command},
    command_entry{"shift", "cancel", "cancel a shift", run_shift_cancel_command},
    command_entry{"drain", "plan", "plan a drain", run_drain_plan_command},
    command_entry{"drain", "start", "start a planned drain", run_drain_start_command},
    command_entry{"drain", "cancel", "cancel a drain", run_drain_cancel_command},
    command_entry{"", "status", "print the state of hosts", run_status_command},
    command_entry{"", "explain", "print how a request was routed", run_explain_command},
    command_entry{"quarantine", "list", "list quarantined requests", run_quarantine_list_command},
    command_entry{"quarantine", "release", "release a quarantined request", run_quarantine_release_command},
    command_entry{"", "audit", "list accepted configurations", run_audit_command},
    command_entry{"", "version", "print the version", run_version_command},
};

std::string full_name(const command_entry& command) {
    return command.group.empty() ? std::string(command.name)
                                 : std::string(command.group) + " " + std::string(command.name);
}

void print_usage(std::ostream& stream, std::string_view group) {
    constexpr std::size_t name_width = 22;
    stream << "usage: ragworthinge SUBCOMMAND [OPTIONS]\n\n";
    for (const auto& command : commands) {
        if (!group.empty() && command.group != group)
            continue;
        auto name = full_name(command);
        name.resize(name_width, ' ');
        stream << "  " << name << command.summary << "\n";
    }
    stream << "\nSUBCOMMAND --help prints its options.\n"
           << "Exit codes: 0 success, 1 findings or refused, 2 usage, 3 unreachable or unknown outcome, 4 conflict.\n";
}

} // namespace

int run_command_line(command_environment& environment, const std::vector<std::string>& arguments) {
    const std::string first = arguments.empty() ? "" : arguments[0];
    const std::string second = arguments.size() < 2 ? "" : arguments[1];
    for (const auto& command : commands) {
        if (command.group.empty() && command.name == first)
            return command.run(environment, {arguments.begin() + 1, arguments.end()});
        if (!command.group.empty() && command.group == first && command.name == second)
            return command.run(environment, {arguments.begin() + 2, arguments.end()});
    }
    const bool is_group = std::any_of(commands.begin(), commands.end(), [&](const command_entry& command) {
        return !command.group.empty() && command.group == first;
    });
    const auto group = is_group ? first : std::string{};
    if (first == "--help" || (is_group && second == "--help")) {
        print_usage(*environment.output, group);
        return exit_success;
    }
    if (!first.empty())
        *environment.errors << "error: unknown subcommand '" << first << (is_group ? " " + second : "") << "'\n";
    print_usage(*environment.errors, group);
    return exit_usage;
}

int run_command_line(const std::vector<std::string>& arguments) {
    auto environment = make_command_environment();
    return run_command_line(environment, arguments);
}

} // namespace ragworthinge
