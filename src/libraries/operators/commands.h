#pragma once

#include "operators/command_environment.h"

#include <string>
#include <vector>

namespace ragworthinge {

/// Entry point of a subcommand. Takes the arguments after its name and returns the exit code of the process.
using command_function = int (*)(command_environment&, const std::vector<std::string>&);

int run_host_command(command_environment& environment, const std::vector<std::string>& arguments);
int run_steer_command(command_environment& environment, const std::vector<std::string>& arguments);
int run_check_command(command_environment& environment, const std::vector<std::string>& arguments);
int run_submit_command(command_environment& environment, const std::vector<std::string>& arguments);
int run_show_command(command_environment& environment, const std::vector<std::string>& arguments);
int run_compare_command(command_environment& environment, const std::vector<std::string>& arguments);
int run_rollback_command(command_environment& environment, const std::vector<std::string>& arguments);
int run_key_issue_command(command_environment& environment, const std::vector<std::string>& arguments);
int run_key_withdraw_command(command_environment& environment, const std::vector<std::string>& arguments);
int run_shift_plan_command(command_environment& environment, const std::vector<std::string>& arguments);
int run_shift_start_command(command_environment& environment, const std::vector<std::string>& arguments);
int run_shift_pause_command(command_environment& environment, const std::vector<std::string>& arguments);
int run_shift_resume_command(command_environment& environment, const std::vector<std::string>& arguments);
int run_shift_cancel_command(command_environment& environment, const std::vector<std::string>& arguments);
int run_drain_plan_command(command_environment& environment, const std::vector<std::string>& arguments);
int run_drain_start_command(command_environment& environment, const std::vector<std::string>& arguments);
int run_drain_cancel_command(command_environment& environment, const std::vector<std::string>& arguments);
int run_status_command(command_environment& environment, const std::vector<std::string>& arguments);
int run_explain_command(command_environment& environment, const std::vector<std::string>& arguments);
int run_quarantine_list_command(command_environment& environment, const std::vector<std::string>& arguments);
int run_quarantine_release_command(command_environment& environment, const std::vector<std::string>& arguments);
int run_audit_command(command_environment& environment, const std::vector<std::string>& arguments);
int run_version_command(command_environment& environment, const std::vector<std::string>& arguments);

} // namespace ragworthinge
