#pragma once

#include "observability/event_log.h"
#include "steering/fleet_change.h"
#include "store/platform_store.h"
#include "store/store_session.h"

#include <cstdint>
#include <map>
#include <optional>

namespace ragworthinge {

class fiber_runtime;

struct host_registration_options {
    /// Lease of the registration. Missing reports keep callers away from a dead host long before the lease expires.
    std::chrono::seconds lease_time{8};
    duration renew_period = std::chrono::milliseconds(2500);
    duration retry_period = std::chrono::milliseconds(500);
};

/// Registers this host in the store, renews the lease of its record, and registers again if the record disappears.
///
/// The store may execute a write seconds after its response was lost, when the host has started again under the same
/// name. Each write therefore names the revision that it replaces, so that a late one changes nothing.
class host_registration {
public:
    host_registration(fiber_runtime& runtime, platform_store& store, entry_host self, event_log& log,
                      host_registration_options options = {});

    /// Starts the fiber that registers and renews.
    void start();

    /// Registers again if the store no longer holds this incarnation's record. `hosts` are the records that the store
    /// held at the given position.
    void compare_with_store(const std::map<host_id, entry_host>& hosts, store_position position);

    /// Removes the record from the store. Blocks the fiber for one store call. A record whose write was never confirmed
    /// is left to the end of its lease.
    void withdraw();

private:
    void maintain_registration();
    void wait_for_next_step();
    result<void> put_record();
    void remove_record();

    fiber_runtime& m_runtime;
    platform_store& m_store;
    entry_host m_self;
    event_log& m_log;
    host_registration_options m_options;
    std::optional<store_session> m_session;
    std::optional<store_position> m_record_position; ///< Of the last confirmed write of the record.
    bool m_is_registered = false;
    bool m_is_stopped = false;
};

} // namespace ragworthinge
