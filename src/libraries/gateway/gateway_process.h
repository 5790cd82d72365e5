#pragma once

#include "base/boot_clock.h"
#include "base/turn_record.h"
#include "gateway/deployment_adapter.h"
#include "gateway/fleet_exchange.h"
#include "gateway/fleet_synchronizer.h"
#include "gateway/host_registration.h"
#include "gateway/host_weight_log.h"
#include "gateway/request_gateway.h"
#include "gateway/upstream_client.h"
#include "net/fiber_runtime.h"
#include "net/http_server.h"
#include "net/timer_service.h"
#include "observability/event_log.h"
#include "observability/metrics.h"
#include "steering/account_limiter.h"
#include "steering/crash_tracker.h"
#include "steering/fleet_membership.h"
#include "steering/fleet_retry_budget.h"
#include "steering/fleet_state.h"
#include "steering/region_update_builder.h"
#include "steering/request_dispatcher.h"
#include "steering/stop_plan.h"

#include <memory>
#include <string>
#include <vector>

namespace ragworthinge {

struct gateway_process_options {
    /// Interval of reports. They carry demand and load, both of which change within a second.
    duration report_period = std::chrono::milliseconds(800);
    /// Report interval of a host that has just started, until it receives reports of others or `first_report_time` has
    /// passed; after that it is taken to be the only host.
    duration first_report_period = std::chrono::milliseconds(200);
    duration first_report_time = std::chrono::seconds(3);
    /// Interval at which queued requests are served, in addition to each time a slot becomes free, and new reports are
    /// aggregated.
    duration queue_service_period = std::chrono::milliseconds(50);
    /// In a fleet with reporters, shortest interval at which reports are aggregated. They are up to two report periods
    /// old anyway.
    duration aggregation_period = std::chrono::milliseconds(200);
    duration maintenance_period = std::chrono::seconds(1);
    /// Time for which callers cache the response to a lookup. Short, so that they leave a dead host soon, but each
    /// lookup costs a request.
    std::chrono::milliseconds lookup_lifetime{2000};
    stop_plan_options stop;
};

/// One entry host of a deployment. Owns and connects the listeners, the fleet state and the request handling.
class gateway_process {
public:
    gateway_process(const deployment_adapter& adapter, settings_text source, gateway_settings settings,
                    gateway_process_options options = {});

    /// Opens the listeners and starts all fibers. Errors: unavailable, invalid_argument.
    result<void> start();

    /// Logs the bounds of the settings that could not be read and for which the fallback is in force.
    void log_replaced_bounds(const std::vector<finding>& replaced);

    /// Runs until the process has been told to stop and its requests have completed or the stop time has passed.
    void run();

private:
    result<std::unique_ptr<http_server>> listen(const ip_endpoint& address, http_server::handler handler);
    void handle_readiness(http_exchange& exchange);
    void handle_lookup(http_exchange& exchange);
    void handle_metrics(http_exchange& exchange);
    void set_room_metrics();
    void wait_for_signals();
    void open_exchange();
    void send_first_reports();
    result<std::string> fetch_fleet_secret();
    host_report make_report();
    void handle_host_report(host_report report);
    region_update make_region_update(const region_update_request& update_request);
    void apply_region_update(region_update update, time_point requested_at);
    void handle_region_report(region_report regional_report);
    void record_known_objects(const std::vector<known_object>& objects, time_point now);
    void update_shares(time_point now);
    void serve_queues(time_point now);
    void update_others_in_flight(time_point now);
    void apply_fleet_change();
    void reload_settings(std::string_view cause);
    void run_maintenance();
    void stop();
    /// Waits until no request is in progress or partly received and no connection closes behind a response, at most
    /// until the deadline.
    void wait_for_requests(time_point deadline);
    bool is_ready() const;

    const deployment_adapter& m_adapter;
    settings_text m_settings_text;
    gateway_settings m_settings;
    gateway_process_options m_options;
    incarnation m_incarnation;

    event_log m_log;
    metrics m_metrics;
    fiber_runtime m_runtime;
    timer_service m_timers;
    std::unique_ptr<platform_store> m_store;

    fleet_state m_fleet;
    fleet_membership m_membership;
    request_dispatcher m_dispatcher;
    account_limiter m_limiter;
    fleet_retry_budget m_retries;
    crash_tracker m_crashes;
    region_update_builder m_update_builder;
    host_report m_last_report;
    upstream_client m_client;
    fleet_exchange m_exchange;
    request_gateway m_gateway;
    std::unique_ptr<fleet_synchronizer> m_synchronizer;
    std::unique_ptr<host_registration> m_registration;

    std::unique_ptr<http_server> m_callers;
    std::unique_ptr<http_server> m_readiness;
    std::unique_ptr<http_server> m_lookups;
    std::unique_ptr<http_server> m_metrics_server;
    std::vector<timer_subscription> m_subscriptions;
    host_weight_log m_weight_log{m_log};
    turn_record m_turns{boot_time_now()};
    time_point m_last_maintenance_at;
    time_point m_shares_updated_at; ///< When the shares of the accounts' rates were last computed.
    bool m_is_stopping = false;
    bool m_has_new_reports = false; ///< Whether reports have arrived since loads and shares were last computed.
};

/// Runs a gateway until SIGTERM; returns the process's exit code. The settings come from the deployment.
int run_gateway(const deployment_adapter& adapter);

} // namespace ragworthinge
