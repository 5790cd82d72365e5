#pragma once

#include "net/http_connection.h"
#include "operators/command_environment.h"

#include <memory>

namespace ragworthinge {

class fiber_runtime;

/// Gives subcommands network access to the store and to hosts. Calls block the fiber that `run_blocking` starts.
class command_runtime {
public:
    command_runtime();
    command_runtime(const command_runtime&) = delete;
    command_runtime& operator=(const command_runtime&) = delete;
    ~command_runtime();

    /// Runs the function in a fiber of a new runtime and returns its result.
    int run_blocking(const std::function<int()>& body);

    /// Errors: invalid_argument, unavailable outside `run_blocking`.
    result<std::unique_ptr<platform_store>> connect_store(const std::vector<ip_endpoint>& endpoints);

    /// Errors: unavailable, timeout.
    result<control_response> send_control_request(const control_request& request);

private:
    std::unique_ptr<fiber_runtime> m_runtime;
};

} // namespace ragworthinge
