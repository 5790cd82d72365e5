#pragma once

#include "base/result.h"
#include "configuration/host_settings.h"
#include "host/account_rates.h"
#include "host/active_requests.h"
#include "host/claim_service.h"
#include "host/configuration_follower.h"
#include "host/control_handler.h"
#include "host/heartbeat_service.h"
#include "host/host_state.h"
#include "host/lookup_handler.h"
#include "host/peer_entry.h"
#include "host/peer_forwarder.h"
#include "host/poison_exchange.h"
#include "host/request_entry.h"
#include "host/request_runner.h"
#include "host/share_service.h"
#include "host/slot_shares.h"
#include "host/traffic_steering.h"
#include "membership/member_view.h"
#include "net/fiber_runtime.h"
#include "net/http_connection_pool.h"
#include "net/http_server.h"
#include "net/peer_bus.h"
#include "net/timer_service.h"
#include "observability/event_log.h"
#include "observability/explain_ring.h"
#include "observability/metrics.h"
#include "store/etcd_store.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ragworthinge {

/// Secrets read from the files that the settings name.
struct host_secrets {
    std::string fleet_secret;
    std::string operator_token;
};

/// A running host: owns all modules and connects them.
class host_process {
public:
    host_process(host_settings settings, host_secrets secrets);
    host_process(const host_process&) = delete;
    host_process& operator=(const host_process&) = delete;
    ~host_process() = default;

    /// Opens all listeners. Errors: unavailable, invalid_argument.
    result<void> start();

    /// Serves until a signal ends it gracefully.
    void run();

private:
    result<void> open_store();
    result<void> open_listeners();
    void connect_request_path();
    void connect_fleet();

    void apply_configuration();
    void configure_budgets(const configuration_snapshot& snapshot);
    void assign_dispatchers(time_point now);
    void tick(time_point now);
    void update_gauges(time_point now);

    void handle_caller(http_exchange& exchange);
    bool run_here(const request_context& request, http_exchange& exchange);
    void record_run(const request_context& request, const run_report& report, duration taken);
    void record_refusal(const request_id& id, const account_id& account, const service_id& service,
                        const refusal& reason);
    std::optional<dispatch_place> place(const request_context& request);
    std::vector<host_id> live_hosts(const region_id& region) const;
    std::vector<host_id> dispatching_hosts(const region_id& region) const;
    std::optional<host_id> dispatcher_of(const service_id& service, const region_id& region) const;
    const peer_settings* find_peer(const host_id& host) const;
    lookup_result plan_lookup(const service_id& service) const;

    std::string answer_peer(std::string_view request);
    heartbeat own_heartbeat() const;
    heartbeat_reply answer_heartbeat(const heartbeat_request& request);
    void take_heartbeat_reply(const heartbeat_reply& reply, time_point sent_at);
    void fetch_configuration(const host_id& peer);
    configuration_reply answer_configuration(const configuration_request& request) const;

    readiness check_readiness() const;
    boost::json::object describe_status();
    void stop_gracefully();
    duration longest_request() const;

    host_settings m_settings;
    host_secrets m_secrets;
    secret_text m_fleet_secret;
    incarnation m_incarnation;
    event_log m_log;
    metrics m_metrics;
    explain_ring m_explanations;

    fiber_runtime m_runtime;
    timer_service m_timers{m_runtime};
    host_state m_state;
    active_requests m_active;
    member_view m_members;

    std::unique_ptr<etcd_store> m_store;
    std::unique_ptr<peer_bus> m_bus;
    std::unique_ptr<share_service> m_shares;
    std::unique_ptr<account_rates> m_rates;
    std::unique_ptr<slot_shares> m_slots;
    std::unique_ptr<configuration_follower> m_follower;
    std::unique_ptr<heartbeat_service> m_heartbeats;
    std::unique_ptr<claim_service> m_claims;
    std::unique_ptr<traffic_steering> m_steering;
    std::unique_ptr<poison_exchange> m_poison;
    service_dispatches m_services;
    retry_budget m_retries;
    std::unique_ptr<http_connection_pool> m_upstream_pool;
    std::unique_ptr<http_connection_pool> m_peer_pool;
    std::unique_ptr<request_runner> m_runner;
    std::unique_ptr<peer_forwarder> m_forwarder;
    std::unique_ptr<request_entry> m_entry;
    std::unique_ptr<peer_entry> m_peer_entry;
    std::unique_ptr<lookup_handler> m_lookups;
    std::unique_ptr<control_handler> m_control;
    std::unique_ptr<http_server> m_caller_server;
    std::unique_ptr<http_server> m_control_server;
    timer_subscription m_dispatch_tick;
    timer_subscription m_slow_tick;
    timer_subscription m_steering_tick;
    std::optional<time_point> m_configuration_proven_at;
    configuration_revision m_proven_revision = 0;
    bool m_fetching_configuration = false;
    bool m_stopping = false;
    bool m_last_freshness_ok = true;
};

} // namespace ragworthinge
