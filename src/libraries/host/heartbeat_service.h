#pragma once

#include "configuration/host_settings.h"
#include "host/control_messages.h"
#include "membership/member_view.h"
#include "net/peer_bus.h"
#include "net/timer_service.h"

#include <functional>
#include <memory>
#include <vector>

namespace ragworthinge {

class fiber_runtime;

/// Collaborators of a heartbeat_service; all outlive it.
struct heartbeat_service_options {
    fiber_runtime& runtime;
    timer_service& timers;
    peer_bus& bus;
    member_view& members;
    const host_settings& settings;
    /// Builds the message for the next round.
    std::function<heartbeat_request()> compose;
    /// Takes a peer's reply to a heartbeat sent at the given time.
    std::function<void(const heartbeat_reply&, time_point sent_at)> on_reply;
};

/// Sends heartbeats to all peers, more often inside the region, and feeds the answers into the member view.
class heartbeat_service {
public:
    explicit heartbeat_service(heartbeat_service_options options);

    void start();

    /// Sends a heartbeat to all peers now and waits until each has answered or a short time has passed.
    /// Blocks the calling fiber.
    void announce();

private:
    void send_round(bool own_region);
    void send_to(std::size_t index, const std::shared_ptr<const std::string>& message, duration timeout);

    heartbeat_service_options m_options;
    std::vector<char> m_waiting; ///< By peer: a heartbeat without an answer yet.
    timer_subscription m_near;
    timer_subscription m_far;
};

} // namespace ragworthinge
