#include "gateway/gateway_process.h"

#include "base/boot_clock.h"
#include "base/encoding.h"
#include "base/http_status.h"
#include "gateway/host_record.h"
#include "net/await_io.h"

#include <boost/asio/signal_set.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <random>
#include <utility>

namespace ragworthinge {

namespace {

constexpr int exit_failure = 1;
constexpr std::size_t secret_bytes = 32;
/// Store key of the secret with which hosts authenticate their messages to each other.
const std::string secret_key = std::string(product_key_prefix) + "peer-secret";

/// Generates the incarnation number from the system clock, so that later incarnations of a host have higher numbers. If
/// the clock was set back by more than the time between two starts, other hosts accept the new incarnation only when
/// its entry appears in the store. Random low bits distinguish starts within the same millisecond.
incarnation generate_incarnation() {
    constexpr unsigned random_bits = 20;
    std::random_device source;
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
    return (static_cast<incarnation>(milliseconds) << random_bits) | (source() & ((1U << random_bits) - 1));
}

std::string generate_secret() {
    std::random_device source;
    std::string bytes;
    while (bytes.size() < secret_bytes)
        bytes.push_back(static_cast<char>(source() & 0xffU));
    return encode_hex(bytes);
}

network_endpoint to_network_endpoint(const ip_endpoint& endpoint) {
    return {.address = endpoint.address, .port = endpoint.port};
}

entry_host make_entry_host(const gateway_settings& settings, incarnation run) {
    return {.name = settings.host,
            .incarnation = run,
            .region = settings.region,
            .failure_domain = settings.failure_domain,
            .caller_address = to_text(settings.listen.callers),
            .peer_address = to_text(settings.listen.peers),
            .capacity = settings.capacity,
            .link_mbps = settings.link_mbps,
            .memory_mb = settings.memory_mb,
            .descriptors = settings.descriptors};
}

void respond_with_text(http_exchange& exchange, unsigned status, std::string_view type, std::string_view body) {
    http_response_head head{.status = status, .fields = {}, .content_length = {}};
    head.fields.add("Content-Type", type);
    // The HTTP server closes the connection if the response cannot be written.
    static_cast<void>(respond(exchange, std::move(head), body));
}

} // namespace

gateway_process::gateway_process(const deployment_adapter& adapter, settings_text source, gateway_settings settings,
                                 gateway_process_options options)
    : m_adapter(adapter), m_settings_text(std::move(source)), m_settings(std::move(settings)), m_options(options),
      m_incarnation(generate_incarnation()), m_log(m_settings.host, m_settings.level), m_timers(m_runtime),
      m_fleet({.regions = m_settings.regions, .upstreams = {}}),
      m_membership({.self = m_settings.host, .region = m_settings.region, .failure_domain = m_settings.failure_domain}),
      m_dispatcher({.placement = {.own_region = m_settings.region}}, m_fleet, m_membership),
      m_retries({.ratio = m_settings.bounds.retry_ratio,
                 .fixed_allowance = m_settings.bounds.extra_retries,
                 .window = m_settings.bounds.retry_window}),
      m_update_builder(m_membership, m_crashes, {.run = m_incarnation}),
      m_client(m_runtime, m_adapter.field_names(), m_log, {.response_memory = body_memory(m_settings)}),
      m_exchange(m_runtime, m_membership, m_log), m_gateway({.runtime = m_runtime,
                                                             .fleet = m_fleet,
                                                             .membership = m_membership,
                                                             .dispatcher = m_dispatcher,
                                                             .limiter = m_limiter,
                                                             .retries = m_retries,
                                                             .crashes = m_crashes,
                                                             .exchange = m_exchange,
                                                             .client = m_client,
                                                             .field_names = m_adapter.field_names(),
                                                             .log = m_log,
                                                             .counters = m_metrics},
                                                            {.bodies = {.memory = body_memory(m_settings)}}) {
    m_client.on_connect_time([this](const region_id& region, duration round_trip) {
        m_dispatcher.placements().record_distance(region, round_trip);
    });
    m_dispatcher.placements().on_connection_check([this](const upstream_id& upstream, const steering_route& route) {
        return m_client.has_idle(upstream, route.is_idempotent);
    });
    m_exchange.set_report_provider([this] { return make_report(); });
    m_exchange.set_pool_grant_provider([this](const account_id& name) {
        const auto& table = m_fleet.table();
        const steering_account* account = table == nullptr ? nullptr : table->find_account(name);
        return account == nullptr ? pool_grant() : m_limiter.grant(*account, boot_time_now());
    });
    m_exchange.on_host_report([this](host_report report) { handle_host_report(std::move(report)); });
    m_exchange.set_region_update_provider(
        [this](const region_update_request& update_request) { return make_region_update(update_request); });
    m_exchange.on_region_update([this](region_update update, time_point requested_at) {
        apply_region_update(std::move(update), requested_at);
    });
    m_exchange.on_region_report(
        [this](region_report regional_report) { handle_region_report(std::move(regional_report)); });
}

result<std::unique_ptr<http_server>> gateway_process::listen(const ip_endpoint& address, http_server::handler handler) {
    return http_server::listen(m_runtime, {.address = address.address, .port = address.port}, std::move(handler));
}

result<void> gateway_process::start() {
    m_log.write(log_level::info, "start", field("region", m_settings.region),
                field("failure_domain", m_settings.failure_domain),
                field("callers", to_text(m_settings.listen.callers)), field("store", to_text(m_settings.store)),
                field("metrics", m_settings.listen.metrics.port == 0 ? "none" : to_text(m_settings.listen.metrics)),
                field("incarnation", m_incarnation));
    BOOST_OUTCOME_TRY(m_store, m_adapter.connect_store(m_runtime, m_settings));
    m_synchronizer = std::make_unique<fleet_synchronizer>(m_runtime, *m_store, m_adapter, m_fleet, m_membership, m_log);
    m_synchronizer->on_reporter_check([this] { return m_exchange.is_reporter(boot_time_now()); });
    m_synchronizer->on_change([this] { apply_fleet_change(); });
    m_synchronizer->on_peer_snapshot_request(
        [this](store_position known) { return m_exchange.request_snapshot(known, boot_time_now()); });
    m_exchange.set_snapshot_provider([this] { return m_synchronizer->snapshot(); });
    m_registration =
        std::make_unique<host_registration>(m_runtime, *m_store, make_entry_host(m_settings, m_incarnation), m_log);

    BOOST_OUTCOME_TRY(m_callers, http_server::listen(m_runtime,
                                                     {.address = m_settings.listen.callers.address,
                                                      .port = m_settings.listen.callers.port,
                                                      .may_run_concurrently =
                                                          [this](const http_request_head& head) {
                                                              return m_gateway.may_run_concurrently(head);
                                                          }},
                                                     [this](http_exchange& exchange) { m_gateway.handle(exchange); }));
    BOOST_OUTCOME_TRY(m_readiness, listen(m_settings.listen.readiness,
                                          [this](http_exchange& exchange) { handle_readiness(exchange); }));
    BOOST_OUTCOME_TRY(m_lookups,
                      listen(m_settings.listen.lookups, [this](http_exchange& exchange) { handle_lookup(exchange); }));
    if (m_settings.listen.metrics.port != 0) {
        BOOST_OUTCOME_TRY(m_metrics_server, listen(m_settings.listen.metrics,
                                                   [this](http_exchange& exchange) { handle_metrics(exchange); }));
    }

    m_synchronizer->start();
    m_registration->start();
    m_runtime.spawn([this] { open_exchange(); });
    m_runtime.spawn([this] { wait_for_signals(); });
    m_subscriptions.push_back(m_timers.subscribe(m_options.queue_service_period, [this](time_point) {
        const time_point now = boot_time_now();
        m_turns.record_turn(now);
        // New reports are aggregated together. With many hosts, a pass over all reports for each new one is too
        // expensive.
        const duration pause = m_membership.uses_reporters() ? m_options.aggregation_period : duration::zero();
        const bool is_overdue = now - m_shares_updated_at > m_options.report_period * 2;
        if ((m_has_new_reports && now - m_shares_updated_at >= pause) || is_overdue) {
            if (std::exchange(m_has_new_reports, false))
                update_others_in_flight(now);
            update_shares(now);
        }
        serve_queues(now);
    }));
    m_subscriptions.push_back(m_timers.subscribe(m_options.report_period, [this](time_point) {
        m_exchange.send_reports(boot_time_now());
        update_shares(boot_time_now());
    }));
    m_last_maintenance_at = boot_time_now();
    m_subscriptions.push_back(
        m_timers.subscribe(m_options.maintenance_period, [this](time_point) { run_maintenance(); }));
    m_subscriptions.push_back(
        m_timers.subscribe(latency_window_length, [this](time_point) { m_metrics.rotate_latency_windows(); }));
    return boost::outcome_v2::success();
}

void gateway_process::run() {
    m_runtime.run();
}

bool gateway_process::is_ready() const {
    return !m_is_stopping && m_synchronizer->is_synchronized() && m_fleet.table() != nullptr;
}

void gateway_process::handle_readiness(http_exchange& exchange) {
    if (!m_adapter.is_readiness_target(exchange.request().target))
        return respond_with_text(exchange, http_status::not_found, "text/plain", "unknown\n");
    respond_with_text(exchange, is_ready() ? http_status::ok : http_status::service_unavailable, "text/plain",
                      is_ready() ? "ready\n" : "not ready\n");
}

void gateway_process::handle_lookup(http_exchange& exchange) {
    const auto query = m_adapter.parse_lookup(exchange.request().target);
    if (!query)
        return respond_with_text(exchange, http_status::not_found, "text/plain", "unknown\n");
    // A caller keeps the hosts of its answers while the fleet is unchanged, so its connections stay in use.
    const auto hosts = m_membership.rooms().select(m_membership.entry_hosts_for(query->region, boot_time_now()),
                                                   exchange.remote_address());
    if (hosts.empty())
        return respond_with_text(exchange, http_status::service_unavailable, "text/plain", "no entry host is known\n");
    const auto lifetime = std::min(m_options.lookup_lifetime, m_settings.bounds.lookup_lifetime);
    respond_with_text(exchange, http_status::ok, "application/json", m_adapter.format_lookup_answer(hosts, lifetime));
}

void gateway_process::handle_metrics(http_exchange& exchange) {
    m_metrics.set("ragworthinge_requests_under_way", {}, static_cast<double>(m_gateway.in_progress()));
    m_metrics.set("ragworthinge_requests_waiting", {}, static_cast<double>(m_dispatcher.waiting()));
    m_metrics.set("ragworthinge_store_revision", {}, static_cast<double>(m_synchronizer->position().revision));
    m_metrics.set("ragworthinge_store_era", {}, static_cast<double>(number_of(m_synchronizer->position().era)));
    m_metrics.set("ragworthinge_store_contact_age_seconds", {},
                  std::chrono::duration<double>(m_synchronizer->contact_age(boot_time_now())).count());
    m_metrics.set("ragworthinge_connections_opened", {}, static_cast<double>(m_client.connections_opened()));
    m_metrics.set("ragworthinge_upstream_leaving_responses", {}, static_cast<double>(m_client.leaving_responses()));
    m_metrics.set("ragworthinge_upstream_quiet_responses", {}, static_cast<double>(m_client.quiet_responses()));
    m_metrics.set("ragworthinge_peer_bytes", {}, static_cast<double>(m_exchange.bytes_transferred()));
    m_metrics.set("ragworthinge_room_share", {}, m_membership.room_share(boot_time_now()));
    m_metrics.set("ragworthinge_members", {}, static_cast<double>(m_membership.size()));
    set_room_metrics();
    respond_with_text(exchange, http_status::ok, "text/plain", m_metrics.to_prometheus_text());
}

void gateway_process::set_room_metrics() {
    for (const auto& [key, room] : m_dispatcher.rooms()) {
        std::string regions;
        for (const region_id& region : key.second)
            regions += (regions.empty() ? "" : ",") + region;
        const metric_labels labels{{"service", key.first}, {"regions", regions}};
        m_metrics.set("ragworthinge_regional_room_short", labels, room->is_short() ? 1 : 0);
        m_metrics.set("ragworthinge_regional_room_limit", labels, room->limit());
        m_metrics.set("ragworthinge_regional_room_refused", labels, room->refused_fraction(boot_time_now()));
    }
}

void gateway_process::apply_fleet_change() {
    m_registration->compare_with_store(m_fleet.hosts(), m_synchronizer->position());
    if (m_fleet.table() == nullptr)
        return;
    const caller_limits& limits = m_fleet.table()->configuration().limits;
    m_callers->set_limits(limits.header_bytes, limits.idle_timeout, limits.header_timeout);
    update_shares(boot_time_now());
    m_dispatcher.serve_waiting(boot_time_now());
}

void gateway_process::open_exchange() {
    while (!m_is_stopping) {
        const auto secret = fetch_fleet_secret();
        if (!secret) {
            m_log.write(log_level::debug, "peer_secret_unknown", field("cause", secret.error().message));
        } else if (const auto opened = m_exchange.open(to_network_endpoint(m_settings.listen.peers), secret.value());
                   opened) {
            send_first_reports();
            return;
        } else {
            m_log.write(log_level::error, "peer_listener_failed", field("cause", opened.error().message));
        }
        m_runtime.sleep_for(m_options.report_period);
    }
}

void gateway_process::send_first_reports() {
    // Short intervals matter after a restart of all hosts: no host may spend more than an equal fraction of the budgets
    // until it receives the reports of the others.
    const time_point started = boot_time_now();
    do {
        m_exchange.send_reports(boot_time_now());
        m_runtime.sleep_for(m_options.first_report_period);
    } while (!m_is_stopping && m_membership.live_peers(boot_time_now()) == 0 &&
             boot_time_now() - started < m_options.first_report_time);
}

result<std::string> gateway_process::fetch_fleet_secret() {
    BOOST_OUTCOME_TRY(const auto known, m_store->get(secret_key));
    if (known)
        return known->value;
    store_transaction creation;
    creation.compares.push_back({.key = secret_key, .mod_revision = 0});
    creation.success.push_back(
        {.type = store_operation::kind::put, .key = secret_key, .value = generate_secret(), .lease = 0});
    // Several hosts may try to create the secret at the same time. The next attempt reads the one that was stored.
    BOOST_OUTCOME_TRYV(m_store->commit(creation));
    return failure(error_code::conflict, "fleet secret was just created; reading it with the next attempt");
}

host_report gateway_process::make_report() {
    const time_point now = boot_time_now();
    host_report report{.host = m_settings.host,
                       .incarnation = m_incarnation,
                       .is_leaving = m_is_stopping,
                       .store_position = m_synchronizer->position(),
                       .demands = m_limiter.report_demands(now),
                       .loads = {},
                       .new_objects = m_gateway.take_new_objects(),
                       .crashes = m_crashes.notices(now)};
    for (const auto& [id, upstream] : m_fleet.upstreams()) {
        if (upstream->own_in_flight() > 0)
            report.loads.push_back({id, static_cast<std::uint32_t>(upstream->own_in_flight())});
    }
    m_update_builder.add_objects(report.new_objects);
    m_last_report = report;
    return report;
}

region_update gateway_process::make_region_update(const region_update_request& update_request) {
    const time_point now = boot_time_now();
    region_update update =
        m_update_builder.make_update(update_request, m_last_report, m_exchange.is_reporter(now), now);
    update.store_position = m_synchronizer->position();
    update.follows_store = m_synchronizer->follows_store(now);
    update.changes = m_synchronizer->changes_since(update_request.report.store_position);
    return update;
}

void gateway_process::apply_region_update(region_update update, time_point requested_at) {
    const time_point now = boot_time_now();
    m_synchronizer->apply_region_update(update, requested_at);
    m_crashes.merge("reporter", update.crashes, now);
    if (!update.new_objects.empty()) {
        std::map<upstream_hash, std::shared_ptr<observed_upstream>> numbered;
        for (const auto& [id, upstream] : m_fleet.upstreams())
            numbered.emplace(hash_of(id), upstream);
        for (const known_object_entry& known : update.new_objects) {
            if (const auto upstream = numbered.find(known.upstream); upstream != numbered.end())
                upstream->second->add_known_object(known.object, now);
        }
    }
    m_membership.record_region_update(std::move(update), requested_at, now);
    m_has_new_reports = true;
}

void gateway_process::record_known_objects(const std::vector<known_object>& objects, time_point now) {
    for (const known_object& known : objects) {
        if (const auto upstream = m_fleet.find_upstream(known.upstream))
            upstream->add_known_object(known.object, now);
    }
}

void gateway_process::handle_host_report(host_report report) {
    const time_point now = boot_time_now();
    m_crashes.merge(report.host, report.crashes, now);
    record_known_objects(report.new_objects, now);
    m_update_builder.add_objects(report.new_objects);
    if (m_membership.record_report(std::move(report), now))
        m_has_new_reports = true;
}

void gateway_process::handle_region_report(region_report regional_report) {
    const time_point now = boot_time_now();
    m_crashes.merge("region " + regional_report.region, regional_report.crashes, now);
    record_known_objects(regional_report.new_objects, now);
    m_update_builder.add_objects(regional_report.new_objects);
    m_membership.record_region_report(std::move(regional_report), now);
    m_has_new_reports = true;
}

void gateway_process::serve_queues(time_point now) {
    if (m_dispatcher.waiting() > 0)
        m_dispatcher.serve_waiting(now);
}

void gateway_process::update_shares(time_point now) {
    m_shares_updated_at = now;
    if (m_fleet.table() != nullptr)
        m_limiter.update_shares(*m_fleet.table(), m_membership, now);
    m_dispatcher.set_demand_shares(m_limiter.demand_shares());
}

void gateway_process::update_others_in_flight(time_point now) {
    const std::map<upstream_hash, double> totals = m_membership.reported_loads(now);
    for (const auto& [id, upstream] : m_fleet.upstreams()) {
        const auto found = totals.find(hash_of(id));
        upstream->set_others_in_flight(found == totals.end() ? 0 : found->second);
    }
}

void gateway_process::run_maintenance() {
    const time_point now = boot_time_now();
    const duration gap = now - m_last_maintenance_at;
    if (gap > m_options.maintenance_period * 2)
        m_log.write(log_level::warn, "paused", field("gap", gap));
    m_last_maintenance_at = now;
    for (const upstream_id& id : m_fleet.drop_expired(now))
        m_log.write(log_level::info, "upstream_dropped", field("upstream", id),
                    field("reason", "its entry lapsed and did not return"));
    m_membership.remove_expired(now);
    m_client.close_idle(m_fleet.upstreams());
    m_weight_log.update(m_membership.entry_hosts_for(m_settings.region, now), m_membership.rooms(), now);
    reload_settings("changed file");
}

void gateway_process::log_replaced_bounds(const std::vector<finding>& replaced) {
    if (!replaced.empty())
        m_log.write(log_level::warn, "bounds_replaced", field("findings", to_text(replaced)));
}

void gateway_process::reload_settings(std::string_view cause) {
    const auto current = m_adapter.read_settings();
    if (!current) {
        m_log.write(log_level::warn, "settings_unreadable", field("problem", current.error().message));
        return;
    }
    if (current.value().text == m_settings_text.text)
        return;
    m_settings_text = current.value();
    const auto read = read_gateway_settings(m_settings_text.file, m_settings_text.text, m_settings.bounds);
    if (!read.findings.empty()) {
        m_log.write(log_level::warn, "settings_refused", field("cause", cause),
                    field("findings", to_text(read.findings)));
        return;
    }
    log_replaced_bounds(read.replaced_bounds);
    // Changes of the addresses, the region and the failure domain take effect at the next start.
    m_settings.bounds = read.settings.bounds;
    m_settings.level = read.settings.level;
    m_log.set_level(m_settings.level);
    m_log.write(log_level::info, "settings_reloaded", field("cause", cause));
}

void gateway_process::wait_for_signals() {
    boost::asio::signal_set signals(m_runtime.io(), SIGTERM, SIGINT, SIGHUP);
    for (;;) {
        int number = 0;
        const io_outcome outcome = await_io([&](auto handler) {
            signals.async_wait([&number, handler](const boost::system::error_code& failure, int received) mutable {
                number = received;
                handler(failure);
            });
        });
        if (outcome.failed())
            return;
        if (number == SIGHUP) {
            m_log.write(log_level::info, "reload", field("signal", "SIGHUP"));
            reload_settings("SIGHUP");
            continue;
        }
        stop();
        return;
    }
}

void gateway_process::stop() {
    const time_point seen_at = boot_time_now();
    const time_point ordered_at = m_turns.earliest_occurrence();
    const stop_plan plan(ordered_at, m_settings.bounds.stop_time, m_options.stop);
    m_is_stopping = true;
    m_membership.set_leaving();
    m_callers->start_draining();
    m_log.write(log_level::info, "stop", field("under_way", m_gateway.in_progress()),
                field("waiting", m_dispatcher.waiting()), field("connections", m_callers->connection_count()),
                field("seen_after", seen_at - ordered_at), field("accepts_for", plan.accepts_until() - seen_at),
                field("exits_in", plan.exits_at() - seen_at));
    m_dispatcher.begin_stop(plan, seen_at);
    m_exchange.send_reports(boot_time_now());
    m_runtime.spawn([this] { m_registration->withdraw(); });

    m_runtime.sleep_for(std::max(plan.accepts_until() - boot_time_now(), duration::zero()));
    m_callers->close_idle();

    wait_for_requests(plan.interrupts_at());
    m_gateway.interrupt_attempts();
    wait_for_requests(plan.exits_at());
    m_gateway.log_cut_off();
    m_log.write(log_level::info, "stopped", field("under_way", m_gateway.in_progress()),
                field("waiting", m_dispatcher.waiting()),
                field("partly_received", m_callers->partly_received_requests()),
                field("taken", boot_time_now() - ordered_at));
    m_runtime.stop();
}

void gateway_process::wait_for_requests(time_point deadline) {
    constexpr auto check_period = std::chrono::milliseconds(20);
    const auto is_idle = [this] {
        return m_callers->active_requests() == 0 && m_callers->partly_received_requests() == 0 &&
               m_callers->closing_connections() == 0 && m_lookups->closing_connections() == 0;
    };
    while (!is_idle() && boot_time_now() < deadline)
        m_runtime.sleep_for(check_period);
}

int run_gateway(const deployment_adapter& adapter) {
    std::signal(SIGPIPE, SIG_IGN);
    const auto source = adapter.read_settings();
    if (!source) {
        std::cerr << source.error().message << '\n';
        return exit_failure;
    }
    auto read = read_gateway_settings(source.value().file, source.value().text);
    if (!read.findings.empty()) {
        std::cerr << to_text(read.findings);
        return exit_failure;
    }
    gateway_process process(adapter, source.value(), std::move(read.settings));
    process.log_replaced_bounds(read.replaced_bounds);
    if (const auto started = process.start(); !started) {
        std::cerr << started.error().message << '\n';
        return exit_failure;
    }
    process.run();
    // Fibers may still wait for peers and timers. The process exits without resuming them.
    std::cout.flush();
    std::_Exit(0);
}

} // namespace ragworthinge
