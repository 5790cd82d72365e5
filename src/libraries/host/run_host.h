#pragma once

#include "configuration/host_settings.h"

namespace ragworthinge {

/// Runs a host until it is told to stop and returns the process's exit code.
int run_host(const host_settings& settings);

} // namespace ragworthinge
