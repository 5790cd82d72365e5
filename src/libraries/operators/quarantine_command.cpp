#include "operators/commands.h"
#include "operators/control_client.h"

#include <boost/program_options/value_semantic.hpp>

namespace ragworthinge {

int run_quarantine_list_command(command_environment& environment, const std::vector<std::string>& arguments) {
    command_options options(environment, "quarantine list --control IP:PORT... --token-file FILE",
                            "Lists requests that are rejected because upstreams crashed while running them.");
    options.add_control();
    if (const auto code = options.parse(arguments))
        return *code;
    return environment.run_blocking(
        [&] { return call_hosts(options, "GET", "/control/quarantine", host_selection::every_host); });
}

int run_quarantine_release_command(command_environment& environment, const std::vector<std::string>& arguments) {
    command_options options(environment, "quarantine release FINGERPRINT --control IP:PORT... --token-file FILE",
                            "Releases a quarantined request through the first given host that responds.");
    options.add_control();
    options.add()("fingerprint", boost::program_options::value<std::string>()->required(),
                  "as printed by 'quarantine list'");
    options.add_positional("fingerprint", 1);
    if (const auto code = options.parse(arguments))
        return *code;
    const auto target = "/control/quarantine/release?fingerprint=" + encode_query_value(options.text("fingerprint"));
    return environment.run_blocking(
        [&] { return call_hosts(options, "POST", target, host_selection::first_reachable); });
}

} // namespace ragworthinge
