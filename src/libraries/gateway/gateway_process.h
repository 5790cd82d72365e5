#pragma once

#include "gateway/deployment.h"
#include "gateway/fleet_exchange.h"
#include "gateway/fleet_follower.h"
#include "gateway/host_registration.h"
#include "gateway/request_gateway.h"
#include "gateway/upstream_client.h"
#include "net/fiber_runtime.h"
#include "net/http_server.h"
#include "net/timer_service.h"
#include "observability/event_log.h"
#include "observability/metrics.h"
#include "steering/account_limiter.h"
#include "steering/bulletin_board.h"
#include "steering/crash_register.h"
#include "steering/fleet_membership.h"
#include "steering/fleet_retry_budget.h"
#include "steering/fleet_state.h"
#include "steering/request_dispatcher.h"

#include <memory>
#include <string>
#include <vector>

namespace ragworthinge {

struct gateway_process_options {
    /// Reports carry demand and load; both move within a second.
    duration report_period = std::chrono::milliseconds(800);
    /// A started host reports this often until it hears others, for this long at most: then it is alone.
    duration first_report_period = std::chrono::milliseconds(200);
    duration first_report_time = std::chrono::seconds(3);
    /// Waiting requests are looked at this often besides each freed slot, and new reports are added up.
    duration line_period = std::chrono::milliseconds(50);
    /// In a fleet with reporters, reports are added up this often at most. They are up to two report periods old
    /// anyway.
    duration relayed_use_period = std::chrono::milliseconds(200);
    duration upkeep_period = std::chrono::seconds(1);
    /// Callers keep look-ups for this long: short, so that they leave a dead host soon, but each look-up costs a
    /// request.
    std::chrono::milliseconds lookup_lifetime{2000};
    /// Part of the stop time after which no new requests are taken. The rest is for those under way.
    double accepting_part = 0.47;
    /// Time before the stop time's end at which the process ends whatever is under way.
    duration end_margin = std::chrono::milliseconds(300);
};

/// One entry host on a deployment: listeners, the fleet's state and the decisions, connected.
class gateway_process {
public:
    gateway_process(const deployment& translator, settings_text source, gateway_settings settings,
                    gateway_process_options options = {});

    /// Opens the listeners and starts all fibers. Errors: unavailable, invalid_argument.
    result<void> start();

    /// Says in the log which bounds of the settings could not be read, so that others are in force.
    void log_replaced_bounds(const std::vector<finding>& replaced);

    /// Runs until the process was told to stop and its requests have ended.
    void run();

private:
    result<std::unique_ptr<http_server>> listen(const ip_endpoint& address, http_server::handler handler);
    void answer_readiness(http_exchange& exchange);
    void answer_lookup(http_exchange& exchange);
    void answer_metrics(http_exchange& exchange);
    void wait_for_signals();
    void open_exchange();
    void announce_start();
    result<std::string> fetch_fleet_secret();
    fleet_report make_report();
    void take_report(fleet_report report);
    region_bulletin make_bulletin(const bulletin_question& question);
    void take_bulletin(region_bulletin bulletin, time_point asked_at);
    void take_digest(region_digest digest);
    void learn_objects(const std::vector<known_object>& objects, time_point now);
    void update_shares(time_point now);
    void serve_line(time_point now);
    void update_others_in_flight(time_point now);
    void apply_fleet_change();
    void reload_settings(std::string_view cause);
    void do_upkeep();
    void stop();
    bool is_ready() const;

    const deployment& m_translator;
    settings_text m_source;
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
    crash_register m_crashes;
    bulletin_board m_board;
    fleet_report m_last_report;
    upstream_client m_client;
    fleet_exchange m_exchange;
    request_gateway m_gateway;
    std::unique_ptr<fleet_follower> m_follower;
    std::unique_ptr<host_registration> m_registration;

    std::unique_ptr<http_server> m_callers;
    std::unique_ptr<http_server> m_readiness;
    std::unique_ptr<http_server> m_lookups;
    std::unique_ptr<http_server> m_metrics_server;
    std::vector<timer_subscription> m_subscriptions;
    time_point m_last_upkeep;
    time_point m_shares_at; ///< When the shares of the rates were last computed.
    bool m_is_stopping = false;
    bool m_has_new_reports = false; ///< Since load and shares were last computed from them.
};

/// Runs a gateway until SIGTERM; returns the process's exit code. The settings come from the deployment.
int run_gateway(const deployment& translator);

} // namespace ragworthinge
