#include "net/http_connection_pool.h"

#include <algorithm>
#include <utility>

namespace ragworthinge {

result<std::unique_ptr<http_connection>> http_connection_pool::acquire(const network_endpoint& endpoint,
                                                                       time_point deadline) {
    auto& idle = m_idle[endpoint];
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        if (!connection->is_stale())
            return connection;
    }
    const time_point connect_deadline = std::min(deadline, monotonic_clock::now() + m_options.connect_timeout);
    return http_connection::connect(m_runtime, endpoint, connect_deadline,
                                    {.dead_peer_timeout = {}, .tls = m_options.tls});
}

void http_connection_pool::release(const network_endpoint& endpoint, std::unique_ptr<http_connection> connection) {
    if (!connection->reusable())
        return;
    auto& idle = m_idle[endpoint];
    if (idle.size() < m_options.idle_limit_per_endpoint)
        idle.push_back(std::move(connection));
}

} // namespace ragworthinge
