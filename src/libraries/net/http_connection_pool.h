#pragma once

#include "net/http_connection.h"

#include <map>
#include <memory>
#include <vector>

namespace ragworthinge {

/// Settings of a connection pool.
struct http_connection_pool_options {
    std::size_t idle_limit_per_endpoint = 64;
    duration connect_timeout = std::chrono::seconds(1);
    std::shared_ptr<tls_identity> tls; ///< Null for plain TCP.
};

/// Keeps idle client connections for reuse, per endpoint. Use it only from the runtime's thread.
class http_connection_pool {
public:
    http_connection_pool(fiber_runtime& runtime, http_connection_pool_options options)
        : m_runtime(runtime), m_options(std::move(options)) {}

    /// Returns an idle connection to the endpoint, or opens a new one.
    result<std::unique_ptr<http_connection>> acquire(const network_endpoint& endpoint, time_point deadline);

    /// Keeps the connection for reuse if its last response was read completely; otherwise closes it.
    void release(const network_endpoint& endpoint, std::unique_ptr<http_connection> connection);

private:
    fiber_runtime& m_runtime;
    http_connection_pool_options m_options;
    std::map<network_endpoint, std::vector<std::unique_ptr<http_connection>>> m_idle;
};

} // namespace ragworthinge
