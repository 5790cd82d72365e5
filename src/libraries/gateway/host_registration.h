#pragma once

#include "observability/event_log.h"
#include "steering/fleet_change.h"
#include "store/platform_store.h"
#include "store/store_session.h"

#include <optional>

namespace ragworthinge {

class fiber_runtime;

struct host_registration_options {
    /// Lease of the registration. Missing reports keep callers away from a dead host long before the lease expires.
    std::chrono::seconds lease_time{8};
    duration renew_period = std::chrono::milliseconds(2500);
    duration retry_period = std::chrono::milliseconds(500);
};

/// Registers this host in the store and renews the lease of its record.
class host_registration {
public:
    host_registration(fiber_runtime& runtime, platform_store& store, entry_host self, event_log& log,
                      host_registration_options options = {});

    /// Starts the fiber that registers and renews.
    void start();

    /// Removes the record from the store. Blocks the fiber for one store call.
    void withdraw();

private:
    void maintain_registration();
    result<void> put_record();

    fiber_runtime& m_runtime;
    platform_store& m_store;
    entry_host m_self;
    event_log& m_log;
    host_registration_options m_options;
    std::optional<store_session> m_session;
    bool m_is_registered = false;
    bool m_is_stopped = false;
};

} // namespace ragworthinge
