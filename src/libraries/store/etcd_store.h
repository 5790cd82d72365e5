#pragma once

#include "store/call_budget.h"
#include "store/circuit_breaker.h"
#include "store/platform_store.h"
#include "store/retry_backoff.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace ragworthinge {

class fiber_runtime;

struct etcd_store_options {
    std::vector<std::string> endpoints; ///< "IP:PORT" of the store's JSON gateways, in order of preference.
    std::string local_address;          ///< Source IP address of connections; if empty, the system chooses.
    duration call_timeout = std::chrono::seconds(1); ///< Deadline of a call, including its retries.
    duration connect_timeout = std::chrono::milliseconds(300);
    /// Time without any message after which a watch is reopened, because a dead peer can't be told from an idle one.
    /// Each opening counts against the call budget.
    duration watch_idle_timeout = std::chrono::seconds(5);
    /// Time without contact after which a watch gives up and returns the revision delivered so far.
    duration watch_reconnect_timeout = std::chrono::seconds(10);
    std::size_t max_idle_connections = 8; ///< Maximum number of idle connections kept per endpoint.
    duration idle_connection_timeout = std::chrono::seconds(30); ///< Connections idle for longer are not reused.
    std::size_t max_response_bytes = 64U << 20U;
    call_budget_options budget;
    retry_backoff_options backoff;
    circuit_breaker_options breaker;
    std::uint64_t seed = 1; ///< Seed of all retry jitter; it must differ between hosts.
};

/// Counters since the start, for metrics.
struct etcd_store_counters {
    std::int64_t calls = 0; ///< Requests sent or attempted, including retries and watches.
    std::int64_t retries = 0;
    std::int64_t failures = 0;         ///< Attempts without a valid response.
    std::int64_t unknown_outcomes = 0; ///< Writes reported as outcome_unknown.
    std::int64_t budget_refusals = 0;
    std::int64_t breaker_refusals = 0;
    std::int64_t watch_openings = 0;
};

/// Client of the platform's key-value store over etcd's v3 JSON gateway.
///
/// Reads are retried within their deadline. A write is retried only if no byte of it was sent; any other failure of a
/// write is outcome_unknown unless the store rejected it. A read response with a lower revision than this
/// client had seen before the request is rejected as a protocol_violation. A watch resumes after a broken stream. A
/// transaction that names an ended lease fails with not_found and has no effect.
///
/// Calls must be made from fibers of the runtime. Destroy the client only after `close` and after all calls returned.
class etcd_store final : public platform_store {
public:
    /// Fails with invalid_argument if the options are invalid.
    static result<std::unique_ptr<etcd_store>> create(fiber_runtime& runtime, etcd_store_options options);
    ~etcd_store() override;

    result<std::optional<store_entry>> get(const std::string& key) override;
    result<store_range> get_prefix(const std::string& prefix) override;
    result<store_transaction_result> commit(const store_transaction& transaction) override;
    result<std::int64_t> grant_lease(std::chrono::seconds ttl) override;
    result<std::chrono::seconds> keep_lease_alive(std::int64_t lease) override;
    result<store_position> watch_prefix(const std::string& prefix, store_position from,
                                        const std::function<bool(const std::vector<store_event>&)>& on_events) override;

    /// Closes all connections; calls in progress and later calls fail.
    void close();

    const etcd_store_counters& counters() const noexcept;

private:
    class client;

    explicit etcd_store(std::unique_ptr<client> client);

    std::unique_ptr<client> m_client;
};

} // namespace ragworthinge
