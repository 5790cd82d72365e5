#include "host/host_process.h"

#include "membership/rendezvous_hash.h"

#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <csignal>
#include <random>
#include <utility>

namespace ragworthinge {

namespace {

constexpr std::chrono::milliseconds dispatch_tick_period{10};
constexpr std::chrono::milliseconds slow_tick_period{200};
constexpr std::chrono::milliseconds steering_tick_period{250};
constexpr std::chrono::milliseconds bus_timeout{500};
constexpr std::chrono::milliseconds drain_poll{20};
constexpr std::chrono::seconds stop_margin{2};
/// Two polls of the region's page. A member that still had this host on its page when the store goes down would wait
/// for its heartbeats and lose its spending lease.
constexpr std::chrono::milliseconds page_reading_time{800};

/// Part of an account's rate that all holders together keep when they cannot prove that they may spend more.
/// Hosts that dispatch nothing keep theirs idle: at a quarter of the rate, an account whose callers used one host got
/// 0.83 of its rate.
constexpr double minimum_part = 0.05;
/// Holders for which the minimum is sized; each keeps its part, so the sum stays below the limit.
constexpr double minimum_holders = 12;

incarnation draw_incarnation() {
    std::random_device source;
    return (static_cast<std::uint64_t>(source()) << 32U | source()) >> 12U;
}

network_endpoint to_network(const ip_endpoint& endpoint) {
    return {.address = endpoint.address, .port = endpoint.port};
}

std::string takeover_key(const region_id& region) {
    return "allocator/" + region;
}

std::string_view name_of(licence_mode mode) {
    switch (mode) {
    case licence_mode::proven:
        return "proven";
    case licence_mode::outage:
        return "outage";
    case licence_mode::minimum_only:
        break;
    }
    return "minimum_only";
}

std::string_view name_of(freshness state) {
    switch (state) {
    case freshness::proven:
        return "proven";
    case freshness::store_outage:
        return "store_outage";
    case freshness::stale:
        break;
    }
    return "stale";
}

std::string_view name_of(member_state state) {
    switch (state) {
    case member_state::live:
        return "live";
    case member_state::suspected:
        return "suspected";
    case member_state::leaving:
        return "leaving";
    case member_state::gone:
        return "gone";
    case member_state::fenced:
        break;
    }
    return "fenced";
}

units to_units(double value) {
    return static_cast<units>(value * one_unit);
}

} // namespace

host_process::host_process(host_settings settings, host_secrets secrets)
    : m_settings(std::move(settings)), m_secrets(std::move(secrets)), m_fleet_secret(m_secrets.fleet_secret),
      m_incarnation(draw_incarnation()), m_log(m_settings.host, m_settings.log.level),
      m_members(m_settings.host, m_settings.region, m_settings.failure_domain, m_incarnation) {
    std::vector<listed_host> known;
    for (const peer_settings& peer : m_settings.peers)
        known.push_back({.host = peer.host, .region = peer.region, .failure_domain = peer.failure_domain});
    m_members.apply(known, monotonic_clock::now());
}

result<void> host_process::start() {
    BOOST_OUTCOME_TRYV(open_store());
    connect_request_path();
    BOOST_OUTCOME_TRYV(open_listeners());
    connect_fleet();
    m_steering_tick = m_timers.subscribe(steering_tick_period, [this](time_point now) {
        m_steering->observe(own_heartbeat(), now);
        m_steering->refresh(now);
        for (const auto& [name, dispatch] : m_services)
            dispatch->set_drained(m_steering->drained_upstreams());
    });
    m_dispatch_tick = m_timers.subscribe(dispatch_tick_period, [this](time_point now) { tick(now); });
    m_slow_tick = m_timers.subscribe(slow_tick_period, [this](time_point now) { update_gauges(now); });
    m_log.write(log_level::info, "host_started", field("region", m_settings.region),
                field("failure_domain", m_settings.failure_domain), field("incarnation", m_incarnation));
    return boost::outcome_v2::success();
}

void host_process::run() {
    boost::asio::signal_set signals(m_runtime.io(), SIGTERM, SIGINT);
    signals.async_wait([this](boost::system::error_code failure, int) {
        if (!failure)
            m_runtime.spawn([this] { stop_gracefully(); });
    });
    m_runtime.run();
}

result<void> host_process::open_store() {
    etcd_store_options options;
    for (const ip_endpoint& endpoint : m_settings.store.endpoints)
        options.endpoints.push_back(to_text(endpoint));
    options.seed = m_incarnation;
    BOOST_OUTCOME_TRY(m_store, etcd_store::create(m_runtime, std::move(options)));

    m_shares = std::make_unique<share_service>(share_service_options{
        .runtime = m_runtime,
        .store = *m_store,
        .host = m_settings.host,
        .region = m_settings.region,
        .send = [this](const host_id& host, const control_message& message) -> result<std::string> {
            const peer_settings* peer = find_peer(host);
            if (peer == nullptr)
                return failure(error_code::not_found, host + " is not a known host");
            return m_bus->request(to_network(peer->peer), encode(message), bus_timeout);
        },
        .takeover_rank = [this]() -> std::size_t {
            const auto ranked = rank_hosts(takeover_key(m_settings.region), live_hosts(m_settings.region));
            return static_cast<std::size_t>(std::ranges::find(ranked, m_settings.host) - ranked.begin());
        },
        .on_event =
            [this](const std::string& event, const std::string& detail) {
                m_log.write(log_level::info, event, field("detail", detail));
            }});
    m_rates = std::make_unique<account_rates>(*m_shares);
    m_slots = std::make_unique<slot_shares>(*m_shares);
    m_steering = std::make_unique<traffic_steering>(
        traffic_steering_options{.runtime = m_runtime,
                                 .store = *m_store,
                                 .shares = *m_shares,
                                 .members = m_members,
                                 .region = m_settings.region,
                                 .on_event = [this](const std::string& event, const std::string& detail) {
                                     m_log.write(log_level::warn, event, field("detail", detail));
                                 }});
    m_claims = std::make_unique<claim_service>(m_runtime, m_timers, *m_store,
                                               claim_manager_options{.host = m_settings.host, .run = m_incarnation});
    m_poison = std::make_unique<poison_exchange>(
        poison_exchange_options{.runtime = m_runtime,
                                .timers = m_timers,
                                .store = *m_store,
                                .host = m_settings.host,
                                .run = m_incarnation,
                                .announce =
                                    [this] {
                                        // Requests may arrive before the heartbeats start.
                                        if (m_heartbeats)
                                            m_heartbeats->announce();
                                    },
                                .on_event =
                                    [this](const std::string& event, const std::string& detail) {
                                        m_log.write(log_level::warn, event, field("detail", detail));
                                    }});
    return boost::outcome_v2::success();
}

void host_process::connect_request_path() {
    m_upstream_pool = std::make_unique<http_connection_pool>(m_runtime, http_connection_pool_options{});
    m_peer_pool = std::make_unique<http_connection_pool>(m_runtime, http_connection_pool_options{});
    m_runner =
        std::make_unique<request_runner>(request_runner_options{.runtime = m_runtime,
                                                                .services = m_services,
                                                                .claims = *m_claims,
                                                                .poison = m_poison->registry(),
                                                                .retries = m_retries,
                                                                .upstreams = *m_upstream_pool,
                                                                .publish_poison = [this](const poison_record& record) {
                                                                    m_poison->publish(record);
                                                                }});
    const auto run_request = [this](const request_context& request, http_exchange& exchange) {
        return run_here(request, exchange);
    };
    m_forwarder = std::make_unique<peer_forwarder>(peer_forwarder_options{
        .runtime = m_runtime,
        .peers = *m_peer_pool,
        .retries = m_retries,
        .codec = peer_request(m_secrets.fleet_secret),
        .place = [this](const request_context& request) { return place(request); },
        .run_here = run_request,
        .on_place_end =
            [this](const request_context& request, const dispatch_place& place, bool refused) {
                if (place.counted)
                    m_steering->ended(request.service, place.region, refused, monotonic_clock::now());
            },
        .on_end =
            [this](const request_context& request, const std::optional<refusal>& refused) {
                if (refused)
                    record_refusal(request.id, request.account, request.service, *refused);
            }});
    m_entry = std::make_unique<request_entry>(request_entry_options{
        .state = m_state,
        .active = m_active,
        .id_prefix = m_settings.host + "-" + std::to_string(m_incarnation) + "-",
        .serve =
            [this](const request_context& request, http_exchange& exchange) {
                const time_point start = monotonic_clock::now();
                m_forwarder->serve(request, exchange);
                m_metrics.observe_latency(
                    {.service = request.service, .region = m_settings.region, .account = request.account},
                    monotonic_clock::now() - start);
            },
        .on_refusal =
            [this](const request_id& id, const refusal& reason) {
                record_refusal(id, {}, {}, reason);
            }});
    m_peer_entry = std::make_unique<peer_entry>(
        peer_entry_options{.state = m_state, .codec = peer_request(m_secrets.fleet_secret), .run_here = run_request});
    m_lookups = std::make_unique<lookup_handler>(
        lookup_handler_options{.plan = [this](const service_id& service, const std::string&) {
            return plan_lookup(service);
        }});
    m_control = std::make_unique<control_handler>(
        control_handler_options{.operator_token = m_secrets.operator_token,
                                .values = m_metrics,
                                .explanations = m_explanations,
                                .check_readiness = [this] { return check_readiness(); },
                                .describe_status = [this] { return describe_status(); },
                                .list_quarantine = [this] { return m_poison->registry().list(wall_clock::now()); },
                                .release_quarantine =
                                    [this](const std::string& fingerprint) {
                                        return m_poison->release(fingerprint);
                                    }});
}

result<void> host_process::open_listeners() {
    const listen_settings& listen = m_settings.listen;
    BOOST_OUTCOME_TRY(m_caller_server,
                      http_server::listen(m_runtime, {.address = listen.caller.address, .port = listen.caller.port},
                                          [this](http_exchange& exchange) { handle_caller(exchange); }));
    BOOST_OUTCOME_TRY(m_control_server,
                      http_server::listen(m_runtime, {.address = listen.control.address, .port = listen.control.port},
                                          [this](http_exchange& exchange) { m_control->handle(exchange); }));
    BOOST_OUTCOME_TRY(m_bus, peer_bus::open(m_runtime,
                                            {.listen = to_network(listen.peer), .fleet_secret = m_secrets.fleet_secret},
                                            [this](std::string_view request) { return answer_peer(request); }));
    return boost::outcome_v2::success();
}

void host_process::connect_fleet() {
    m_follower = std::make_unique<configuration_follower>(configuration_follower_options{
        .runtime = m_runtime,
        .store = *m_store,
        .on_change = [this] { apply_configuration(); },
        .on_store_answer =
            [this](time_point sent_at, configuration_revision revision) {
                m_state.freshness.observe_store_answer(sent_at, revision);
                m_configuration_proven_at = sent_at;
                m_proven_revision = revision;
            },
        .on_problem =
            [this](const std::string& message) {
                m_log.write(log_level::warn, "configuration_problem", field("detail", message));
            }});
    m_follower->start();
    m_shares->start();
    m_poison->start();
    m_heartbeats = std::make_unique<heartbeat_service>(heartbeat_service_options{
        .runtime = m_runtime,
        .timers = m_timers,
        .bus = *m_bus,
        .members = m_members,
        .settings = m_settings,
        .compose =
            [this] {
                return heartbeat_request{.sender = own_heartbeat(),
                                         .sender_run = m_shares->run(),
                                         .poison_records = m_poison->recent_records(monotonic_clock::now())};
            },
        .on_reply =
            [this](const heartbeat_reply& reply, time_point sent_at) {
                take_heartbeat_reply(reply, sent_at);
            }});
    m_heartbeats->start();
}

void host_process::apply_configuration() {
    fleet_configuration configuration = *m_follower->replica().current();
    configuration.revision = m_follower->replica().revision();
    auto snapshot = configuration_snapshot::create(std::move(configuration), m_fleet_secret);
    if (!snapshot) {
        m_log.write(log_level::error, "configuration_unusable", field("detail", snapshot.error().message));
        return;
    }
    const bool first = m_state.snapshot == nullptr;
    m_state.snapshot = std::move(snapshot).value();
    m_state.freshness.set_revision_in_force(m_state.snapshot->revision());
    const std::size_t cut = m_active.cut_revoked(m_state.snapshot->keys());

    const configuration_snapshot& current = *m_state.snapshot;
    configure_budgets(current);
    const time_point now = monotonic_clock::now();
    for (const service_configuration& service : current.configuration().services) {
        auto& dispatch = m_services[service.name];
        if (!dispatch)
            dispatch = std::make_unique<service_dispatch>(service_dispatch_options{
                .service = service.name, .region = m_settings.region, .rates = *m_rates, .slots = *m_slots});
    }
    for (const auto& [name, dispatch] : m_services)
        dispatch->configure(current, first ? upstream_start::warm : upstream_start::cold, now);
    m_steering->configure(m_state.snapshot);
    assign_dispatchers(now);
    m_log.write(log_level::info, "configuration_in_force", field("revision", current.revision()),
                field("requests_cut", cut));
}

void host_process::configure_budgets(const configuration_snapshot& snapshot) {
    std::vector<budget_limit> limits;
    std::vector<account_id> accounts;
    for (const account_configuration& account : snapshot.configuration().client_accounts) {
        const amount limit{.rate = to_units(account.rate_per_second), .burst = to_units(account.burst)};
        // With a burst below a whole unit a host could never serve a request from its minimum.
        const double equal_burst = account.burst / minimum_holders;
        const amount minimum{.rate = to_units(account.rate_per_second * minimum_part / minimum_holders),
                             .burst = to_units(std::max(equal_burst * minimum_part, std::min(1.0, equal_burst)))};
        limits.push_back(
            {.budget = {.kind = budget_kind::account_rate, .name = account.name}, .limit = limit, .minimum = minimum});
        accounts.push_back(account.name);
    }
    for (const service_configuration& service : snapshot.configuration().services) {
        for (const upstream_configuration& upstream : service.upstreams)
            limits.push_back({.budget = {.kind = budget_kind::upstream_slots, .name = upstream.name},
                              .limit = {.rate = 0, .burst = static_cast<units>(upstream.slots) * one_unit},
                              .minimum = {}});
    }
    for (budget_limit& limit : traffic_steering::budgets(snapshot.configuration()))
        limits.push_back(std::move(limit));
    std::vector<region_id> regions;
    for (const region_configuration& region : snapshot.configuration().regions)
        regions.push_back(region.name);
    m_shares->configure(std::move(limits), std::move(regions), longest_request());
    m_rates->configure(accounts);
}

void host_process::assign_dispatchers(time_point now) {
    const std::vector<host_id> hosts = m_stopping ? std::vector<host_id>{} : dispatching_hosts(m_settings.region);
    for (const auto& [name, dispatch] : m_services) {
        const auto chosen = highest_ranked_host(dispatcher_key(name, m_settings.region), hosts);
        dispatch->set_dispatcher(chosen && *chosen == m_settings.host);
        dispatch->tick(now);
    }
}

void host_process::tick(time_point now) {
    m_shares->tick(now);
    m_members.tick(now);
    assign_dispatchers(now);
    const bool fresh = m_state.freshness.may_serve_keyed(now);
    if (m_last_freshness_ok && !fresh) {
        const std::size_t cut = m_active.cut_keyed();
        m_log.write(log_level::warn, "keys_stale", field("requests_cut", cut));
    }
    m_last_freshness_ok = fresh;
}

void host_process::update_gauges(time_point now) {
    std::vector<host_id> store_region;
    for (const member& other : m_members.members(now)) {
        if (other.region == m_settings.store.region && other.host != m_settings.host &&
            other.state != member_state::gone && other.state != member_state::fenced)
            store_region.push_back(other.host);
    }
    m_state.freshness.set_store_region_members(std::move(store_region));
    for (const auto& [name, dispatch] : m_services) {
        if (dispatch->is_dispatcher())
            m_metrics.set(measure::headroom, {{"service", name}, {"region", m_settings.region}},
                          dispatch->free_slots(now));
    }
    const etcd_store_counters& calls = m_store->counters();
    m_metrics.set("ragworthinge_store_calls", {}, static_cast<double>(calls.calls));
    m_metrics.set("ragworthinge_control_bytes", {}, static_cast<double>(m_bus->bytes_transferred()));
    m_metrics.set("ragworthinge_configuration_revision", {},
                  m_state.snapshot ? static_cast<double>(m_state.snapshot->revision()) : 0);
}

void host_process::handle_caller(http_exchange& exchange) {
    if (lookup_handler::matches(exchange.request().target))
        m_lookups->handle(exchange);
    else if (exchange.request().fields.find(seal_field))
        m_peer_entry->handle(exchange);
    else
        m_entry->handle(exchange);
}

bool host_process::run_here(const request_context& request, http_exchange& exchange) {
    const time_point start = monotonic_clock::now();
    const run_report report = m_runner->run(request, exchange);
    if (report.moved)
        return false;
    record_run(request, report, monotonic_clock::now() - start);
    return true;
}

void host_process::record_run(const request_context& request, const run_report& report, duration taken) {
    const std::string status = std::to_string(report.status);
    m_metrics.add("ragworthinge_requests_total", {{"service", request.service},
                                                  {"region", m_settings.region},
                                                  {"account", request.account},
                                                  {"status", status}});
    if (report.refused) {
        record_refusal(request.id, request.account, request.service, *report.refused);
        return;
    }
    const double waited = std::chrono::duration<double>(report.queued).count();
    explain_record record{.request = request.id,
                          .account = request.account,
                          .service = request.service,
                          .at = wall_clock::now(),
                          .budgets = {{.name = "account_rate/" + request.account,
                                       .available = m_rates->available(request.account, monotonic_clock::now()),
                                       .needed = 1}},
                          .rule = report.replayed ? "replayed a stored answer" : "dispatched by fair queue",
                          .outcome = "status " + status};
    if (!report.upstream.empty())
        record.candidates.push_back(
            {.name = report.upstream,
             .chosen = true,
             .reason = "attempt " + std::to_string(report.attempts) + ", queued " + std::to_string(waited) + " s"});
    m_explanations.add(std::move(record));
    if (m_log.is_enabled(log_level::debug))
        m_log.write(log_level::debug, "request_answered", field("request", request.id),
                    field("account", request.account), field("upstream", report.upstream), field("status", status),
                    field("taken", std::chrono::nanoseconds(taken)));
}

void host_process::record_refusal(const request_id& id, const account_id& account, const service_id& service,
                                  const refusal& reason) {
    const std::string_view kind = to_string(reason.kind);
    m_metrics.add(
        "ragworthinge_refusals_total",
        {{"service", service}, {"region", m_settings.region}, {"account", account}, {"kind", std::string(kind)}});
    const bool within_rate =
        !account.empty() && reason.outcome() == request_outcome::not_run && reason.kind != refusal_kind::over_rate;
    if (within_rate)
        m_metrics.add(measure::within_rate_refusals,
                      {{"service", service}, {"region", m_settings.region}, {"account", account}});
    m_explanations.add({.request = id,
                        .account = account,
                        .service = service,
                        .at = wall_clock::now(),
                        .candidates = {},
                        .budgets = {},
                        .rule = std::string(kind) + ": " + reason.detail,
                        .outcome = std::string(to_string(reason.outcome()))});
    m_log.write(log_level::debug, "request_refused", field("request", id), field("account", account),
                field("kind", kind), field("detail", reason.detail));
}

std::vector<host_id> host_process::live_hosts(const region_id& region) const {
    std::vector<host_id> hosts = m_members.hosts_in(region, member_state::live, monotonic_clock::now());
    std::erase_if(hosts, [&](const host_id& host) { return m_steering->is_drained(host); });
    return hosts;
}

const peer_settings* host_process::find_peer(const host_id& host) const {
    const auto found = std::ranges::find(m_settings.peers, host, &peer_settings::host);
    return found == m_settings.peers.end() ? nullptr : &*found;
}

// A host that is not on its region's page can hold no slots. While the store is down it stays in that state, so a
// host that starts then must not become the dispatcher.
std::vector<host_id> host_process::dispatching_hosts(const region_id& region) const {
    std::vector<host_id> hosts = live_hosts(region);
    const time_point now = monotonic_clock::now();
    std::erase_if(hosts, [&](const host_id& host) {
        if (host == m_settings.host)
            return !m_shares->joined();
        const auto found = m_members.find(host, now);
        return !found || !found->latest_heartbeat || found->latest_heartbeat->region_page_revision == 0;
    });
    return hosts;
}

std::optional<host_id> host_process::dispatcher_of(const service_id& service, const region_id& region) const {
    return highest_ranked_host(dispatcher_key(service, region), dispatching_hosts(region));
}

std::optional<dispatch_place> host_process::place(const request_context& request) {
    const time_point now = monotonic_clock::now();
    const auto chosen = m_steering->choose(request, now);
    // Without capacity anywhere the request waits in the fair queue of its own region.
    dispatch_place place{.region = chosen.value_or(m_settings.region), .counted = chosen.has_value()};
    const auto host = dispatcher_of(request.service, place.region);
    if (!host || (*host == m_settings.host && m_stopping)) {
        if (place.counted)
            m_steering->ended(request.service, place.region, true, now);
        return std::nullopt;
    }
    place.here = *host == m_settings.host;
    if (!place.here)
        place.endpoint = to_network(find_peer(*host)->caller);
    return place;
}

lookup_result host_process::plan_lookup(const service_id& service) const {
    lookup_result answer;
    if (m_state.snapshot)
        answer.ttl = m_state.snapshot->configuration().lookup_ttl;
    region_id region = m_settings.region;
    if (live_hosts(region).empty()) {
        for (const peer_settings& peer : m_settings.peers) {
            if (!live_hosts(peer.region).empty())
                region = peer.region;
        }
    }
    for (const host_id& host : rank_hosts(dispatcher_key(service, region), live_hosts(region))) {
        const peer_settings* peer = find_peer(host);
        const ip_endpoint& endpoint = peer == nullptr ? m_settings.listen.caller : peer->caller;
        answer.hosts.push_back({.host = host, .region = region, .caller = to_network(endpoint)});
    }
    return answer;
}

std::string host_process::answer_peer(std::string_view request) {
    const auto message = decode_control_message(request);
    if (!message) {
        m_log.write(log_level::warn, "control_message_garbled", field("detail", message.error().message));
        return "{}";
    }
    if (const auto* beat = std::get_if<heartbeat_request>(&message.value()))
        return encode(answer_heartbeat(*beat));
    if (const auto* report = std::get_if<share_exchange_request>(&message.value()))
        return encode(m_shares->answer(*report));
    if (const auto* push = std::get_if<share_push>(&message.value())) {
        m_shares->take_push(*push);
        return "{}";
    }
    return encode(answer_configuration(std::get<configuration_request>(message.value())));
}

heartbeat host_process::own_heartbeat() const {
    const time_point now = monotonic_clock::now();
    heartbeat message{.host = m_settings.host,
                      .incarnation = m_incarnation,
                      .region = m_settings.region,
                      .failure_domain = m_settings.failure_domain,
                      .leaving = m_stopping,
                      .configuration_revision = m_state.snapshot ? m_state.snapshot->revision() : 0,
                      .region_page_revision = m_shares->region().page.revision,
                      .silent_hosts = m_members.silent_hosts(now)};
    if (m_configuration_proven_at)
        message.store_proof_age = now - *m_configuration_proven_at;
    for (const auto& [name, dispatch] : m_services) {
        if (dispatch->is_dispatcher())
            message.loads.push_back(dispatch->load(now));
    }
    return message;
}

heartbeat_reply host_process::answer_heartbeat(const heartbeat_request& request) {
    const time_point now = monotonic_clock::now();
    m_members.apply(request.sender, now);
    m_steering->observe(request.sender, now);
    m_poison->take(request.poison_records);
    heartbeat_reply reply{
        .responder = own_heartbeat(), .responder_run = m_shares->run(), .proven_revision = m_proven_revision};
    if (m_configuration_proven_at)
        reply.configuration_proof_age = now - *m_configuration_proven_at;
    m_shares->describe(reply, {.host = request.sender.host, .run = request.sender_run}, now);
    return reply;
}

void host_process::take_heartbeat_reply(const heartbeat_reply& reply, time_point sent_at) {
    m_steering->observe(reply.responder, sent_at);
    if (reply.responder.region == m_settings.region)
        m_shares->take_reply(reply, sent_at);
    m_state.freshness.observe_peer(
        {.host = reply.responder.host,
         .poll_sent_at = sent_at,
         .proof_age = reply.configuration_proof_age,
         .revision = reply.configuration_proof_age ? reply.proven_revision : reply.responder.configuration_revision});
    if (m_follower->replica().wants(reply.responder.configuration_revision))
        fetch_configuration(reply.responder.host);
}

void host_process::fetch_configuration(const host_id& peer) {
    const peer_settings* source = find_peer(peer);
    if (m_fetching_configuration || source == nullptr)
        return;
    m_fetching_configuration = true;
    m_runtime.spawn([this, peer, endpoint = to_network(source->peer)] {
        const auto text = m_bus->request(
            endpoint, encode(control_message(configuration_request{m_follower->replica().revision()})), bus_timeout);
        m_fetching_configuration = false;
        if (!text)
            return;
        auto reply = decode_configuration_reply(text.value());
        if (!reply || !reply.value().document)
            return;
        if (const auto pointer = parse_pointer(reply.value().pointer))
            m_follower->offer_from_peer(pointer.value(), std::move(*reply.value().document), peer);
    });
}

configuration_reply host_process::answer_configuration(const configuration_request& request) const {
    const configuration_replica& replica = m_follower->replica();
    if (replica.revision() <= request.known_revision)
        return {};
    return {.pointer = print_pointer(replica.pointer()), .document = replica.content()};
}

readiness host_process::check_readiness() const {
    if (m_stopping)
        return {.ready = false, .reason = "the host is leaving"};
    if (!m_state.snapshot)
        return {.ready = false, .reason = "no configuration from the store or a peer yet"};
    if (!m_state.freshness.may_serve_keyed(monotonic_clock::now()))
        return {.ready = false, .reason = "the keys cannot be shown to be current"};
    if (!m_shares->joined())
        return {.ready = true, .reason = "not on the region's page yet: requests are dispatched by other hosts"};
    return {.ready = true, .reason = ""};
}

boost::json::object host_process::describe_status() {
    const time_point now = monotonic_clock::now();
    boost::json::array members;
    for (const member& other : m_members.members(now))
        members.push_back(boost::json::object{
            {"host", other.host},
            {"region", other.region},
            {"state", name_of(other.state)},
            {"revision", other.latest_heartbeat ? other.latest_heartbeat->configuration_revision : 0}});
    boost::json::array shares;
    boost::json::array services;
    if (m_state.snapshot) {
        for (const account_configuration& account : m_state.snapshot->configuration().client_accounts) {
            const budget_index index = m_shares->index_of({.kind = budget_kind::account_rate, .name = account.name});
            const amount held = m_shares->held(index);
            shares.push_back(boost::json::object{{"account", account.name},
                                                 {"rate_per_second", static_cast<double>(held.rate) / one_unit},
                                                 {"burst", static_cast<double>(held.burst) / one_unit}});
        }
    }
    for (const auto& [name, dispatch] : m_services)
        services.push_back(boost::json::object{{"service", name},
                                               {"dispatcher", dispatch->is_dispatcher()},
                                               {"free_slots", dispatch->free_slots(now)},
                                               {"slots_in_use", dispatch->slots_in_use()},
                                               {"waiting", dispatch->waiting()}});
    const auto mode = m_shares->mode(now);
    return {{"host", m_settings.host},
            {"region", m_settings.region},
            {"failure_domain", m_settings.failure_domain},
            {"revision", m_state.snapshot ? m_state.snapshot->revision() : 0},
            {"leaving", m_stopping},
            {"keys", name_of(m_state.freshness.evaluate(now))},
            {"spending_lease", mode ? name_of(*mode) : std::string_view("not_joined")},
            {"allocator", m_shares->allocator().host},
            {"allocator_epoch", m_shares->epoch()},
            {"active_requests", m_active.size()},
            {"claims_waiting", m_claims->backlog()},
            {"members", std::move(members)},
            {"shares", std::move(shares)},
            {"services", std::move(services)}};
}

duration host_process::longest_request() const {
    duration longest{};
    if (!m_state.snapshot)
        return longest;
    for (const service_configuration& service : m_state.snapshot->configuration().services)
        longest = std::max<duration>(longest, service.request_timeout);
    return longest;
}

// Look-ups stop naming this host at once; callers with cached answers are served for the time to live. Waiting requests
// move to the new dispatchers, requests in flight end here.
void host_process::stop_gracefully() {
    if (m_stopping)
        return;
    const time_point begun = monotonic_clock::now();
    m_stopping = true;
    m_members.set_leaving();
    m_caller_server->start_draining();
    assign_dispatchers(begun);
    m_log.write(log_level::info, "host_leaving", field("active_requests", m_active.size()));

    const duration ttl = m_state.snapshot ? duration(m_state.snapshot->configuration().lookup_ttl) : duration{};
    const time_point deadline = begun + ttl + longest_request() + stop_margin;
    m_runtime.sleep_for(ttl);
    m_caller_server->close_idle();
    while (m_caller_server->active_requests() + m_caller_server->closing_connections() > 0 &&
           monotonic_clock::now() < deadline)
        m_runtime.sleep_for(drain_poll);
    while (m_claims->backlog() > 0 && monotonic_clock::now() < deadline)
        m_runtime.sleep_for(drain_poll);

    const std::size_t cut = m_caller_server->active_requests();
    if (cut == 0) {
        m_shares->resign();
        m_runtime.sleep_for(page_reading_time);
    }
    m_log.write(log_level::info, "host_stopped", field("requests_cut", cut),
                field("taken", std::chrono::nanoseconds(monotonic_clock::now() - begun)));
    m_store->close();
    m_runtime.stop();
}

} // namespace ragworthinge
