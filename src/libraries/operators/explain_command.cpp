#include "operators/commands.h"
#include "operators/control_client.h"

#include <boost/program_options/value_semantic.hpp>

namespace ragworthinge {

int run_explain_command(command_environment& environment, const std::vector<std::string>& arguments) {
    command_options options(
        environment, "explain ID --control IP:PORT... --token-file FILE",
        "Prints the candidates, budgets and rule of a request, from the first given host that has them.");
    options.add_control();
    options.add()("id", boost::program_options::value<std::string>()->required(), "id of the request");
    options.add_positional("id", 1);
    if (const auto code = options.parse(arguments))
        return *code;
    const auto target = "/control/explain?id=" + encode_query_value(options.text("id"));
    return environment.run_blocking(
        [&] { return call_hosts(options, "GET", target, host_selection::first_reachable); });
}

} // namespace ragworthinge
