#include "host/heartbeat_service.h"

#include "net/fiber_event.h"
#include "net/fiber_runtime.h"

#include <utility>

namespace ragworthinge {

namespace {

constexpr std::chrono::milliseconds near_period{200};
constexpr std::chrono::milliseconds far_period{500};
constexpr std::chrono::milliseconds reply_timeout{1000};
/// Several round trips between regions. A host that is down or paused must not hold up a caller's answer for longer.
constexpr std::chrono::milliseconds announcement_timeout{250};

/// Answers that an announcement still waits for.
struct announcement {
    std::size_t outstanding = 0;
    fiber_event answered;
};

} // namespace

heartbeat_service::heartbeat_service(heartbeat_service_options options)
    : m_options(std::move(options)), m_waiting(m_options.settings.peers.size()) {}

void heartbeat_service::start() {
    m_near = m_options.timers.subscribe(near_period, [this](time_point) { send_round(true); });
    m_far = m_options.timers.subscribe(far_period, [this](time_point) { send_round(false); });
}

void heartbeat_service::send_round(bool own_region) {
    const auto message = std::make_shared<const std::string>(encode(control_message(m_options.compose())));
    for (std::size_t index = 0; index < m_options.settings.peers.size(); ++index) {
        const bool near = m_options.settings.peers[index].region == m_options.settings.region;
        if (near != own_region || m_waiting[index] != 0)
            continue;
        m_waiting[index] = 1;
        m_options.runtime.spawn([this, index, message] {
            send_to(index, message, reply_timeout);
            m_waiting[index] = 0;
        });
    }
}

void heartbeat_service::announce() {
    const auto message = std::make_shared<const std::string>(encode(control_message(m_options.compose())));
    const auto state = std::make_shared<announcement>();
    state->outstanding = m_options.settings.peers.size();
    if (state->outstanding == 0)
        return;
    for (std::size_t index = 0; index < m_options.settings.peers.size(); ++index) {
        m_options.runtime.spawn([this, index, message, state] {
            send_to(index, message, announcement_timeout);
            if (--state->outstanding == 0)
                state->answered.set();
        });
    }
    state->answered.wait();
}

void heartbeat_service::send_to(std::size_t index, const std::shared_ptr<const std::string>& message,
                                duration timeout) {
    const ip_endpoint& peer = m_options.settings.peers[index].peer;
    const time_point sent_at = monotonic_clock::now();
    const auto text = m_options.bus.request({peer.address, peer.port}, *message, timeout);
    if (!text)
        return;
    const auto reply = decode_heartbeat_reply(text.value());
    if (!reply)
        return;
    m_options.members.apply(reply.value().responder, monotonic_clock::now());
    m_options.on_reply(reply.value(), sent_at);
}

} // namespace ragworthinge
