#pragma once

#include "base/time.h"
#include "host/configuration_snapshot.h"
#include "requests/key_freshness.h"

#include <memory>

namespace ragworthinge {

/// What all request handlers of a host read.
struct host_state {
    std::shared_ptr<const configuration_snapshot> snapshot; ///< Null until the first configuration is in force.
    key_freshness freshness;
};

} // namespace ragworthinge
