#pragma once

#include "base/result.h"
#include "base/time.h"
#include "configuration/host_settings.h"
#include "configuration/ip_address.h"
#include "store/platform_store.h"

#include <functional>
#include <iosfwd>
#include <memory>
#include <string>
#include <vector>

namespace ragworthinge {

/// Request to a host's control endpoint. The token is sent in the header field X-Ragworthinge-Operator-Token.
struct control_request {
    std::string method; ///< GET or POST.
    ip_endpoint endpoint;
    std::string target; ///< Path and query.
    std::string operator_token;
};

struct control_response {
    unsigned status = 0;
    std::string body;
};

/// Dependencies of the subcommands on files, network, time and output streams. Tests replace them with fakes.
struct command_environment {
    std::function<result<std::unique_ptr<platform_store>>(const std::vector<ip_endpoint>&)> connect_store;
    std::function<result<control_response>(const control_request&)> send_control_request;
    std::function<result<std::string>(const std::string&)> read_file;
    /// Cryptographically secure random bytes.
    std::function<result<std::string>(std::size_t)> random_bytes;
    std::function<wall_time()> now;
    std::function<int(const host_settings&)> run_host;
    /// Runs the gateway for the deployment that is linked into the program.
    std::function<int()> run_gateway;
    /// Runs the function in a fiber, which calls to the store or to a host may block.
    std::function<int(const std::function<int()>&)> run_blocking;
    std::ostream* output = nullptr;
    std::ostream* errors = nullptr;
};

/// Creates the environment with real files, network, clock and standard streams.
command_environment make_command_environment();

} // namespace ragworthinge
