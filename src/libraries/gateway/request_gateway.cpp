#include "gateway/request_gateway.h"

#include "base/boot_clock.h"
#include "base/http_status.h"
#include "gateway/retry_after_text.h"
#include "net/fiber_event.h"
#include "net/fiber_runtime.h"

#include <algorithm>
#include <utility>

namespace ragworthinge {

namespace {

std::chrono::milliseconds to_milliseconds(duration time) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(time);
}

/// Names of the regions, for the log.
std::string to_text(const std::optional<std::vector<region_id>>& regions) {
    if (!regions)
        return "all";
    std::string text;
    for (const region_id& region : *regions)
        text += (text.empty() ? "" : ",") + region;
    return text;
}

} // namespace

/// State of one request while it is in progress.
struct request_gateway::request_context {
    request_context(time_point now, byte_budget& memory) : arrived_at(now), body_memory(memory) {}

    time_point arrived_at;
    caller_request caller;
    std::shared_ptr<const steering_table> table; ///< Configuration with which the request was admitted.
    const steering_route* route = nullptr;
    const steering_account* account = nullptr; ///< Null on routes that need no key.
    service_id service;
    std::optional<std::uint64_t> object;
    std::uint64_t fingerprint = 0;
    time_point answer_by;
    outgoing_request outgoing;
    std::shared_ptr<const attempt_subject> subject; ///< Set once the request is admitted.
    byte_reservation body_memory;
    bool is_body_read = false;
    bool has_token = false; ///< A rate token of the account was taken and not given back.

    std::shared_ptr<attempt_canceller> canceller = std::make_shared<attempt_canceller>();
    bool caller_disconnected = false;
    bool is_interrupted = false;          ///< The attempt was ended because this host exits.
    std::optional<waiting_ticket> ticket; ///< Set while the request is queued.
    std::shared_ptr<fiber_event> placed;  ///< Signalled when the wait in the queue ends.

    std::optional<observed_upstream::attempt_handle> running;
    std::vector<upstream_id> tried;
    unsigned attempts = 0;    ///< Attempts in which the request was sent to an upstream.
    unsigned unreachable = 0; ///< Attempts in which no connection could be opened.
    bool may_have_run = false;
    bool ran_to_completion = false; ///< An upstream executed the request, but the response was lost or invalid.
    duration waited{0};
    duration connecting{0};   ///< Time spent on opening connections, over all attempts.
    duration last_attempt{0}; ///< Time that the last attempt took.
    upstream_attempt last;
    const char* token_source = "none"; ///< Source of the account's rate token, for the log.
    dispatch_decision refusal;
    placement placed_last; ///< The last placement, for the log.

    bool is_open() const noexcept { return !caller_disconnected; }
};

bool request_gateway::may_run_concurrently(const http_request_head& head) const {
    const auto table = m_components.fleet.table();
    const auto caller = read_caller_request(head, m_components.field_names);
    if (table == nullptr || !caller)
        return false;
    const steering_route* route = table->find_route(caller.value().host_name, caller.value().path);
    return route != nullptr && route->is_idempotent;
}

void request_gateway::handle(http_exchange& exchange) {
    request_context request(boot_time_now(), m_bodies.memory());
    m_in_progress.insert(&request);
    if (admit(exchange, request) && read_body(exchange, request) && admit_fingerprint(exchange, request) &&
        admit_account(exchange, request))
        forward_request(exchange, request);
    m_in_progress.erase(&request);
}

void request_gateway::interrupt_attempts() {
    for (request_context* request : m_in_progress) {
        if (!request->running)
            continue;
        request->is_interrupted = true;
        request->canceller->cancel();
    }
}

void request_gateway::log_cut_off() {
    for (const request_context* request : m_in_progress)
        log_completion(*request, 0, "cut off by the exit of this host");
}

void request_gateway::wait_for_configuration(const request_context& request) {
    while (m_components.fleet.table() == nullptr && boot_time_now() - request.arrived_at < m_options.startup_hold_limit)
        m_components.runtime.sleep_for(m_options.startup_check_period);
}

bool request_gateway::admit(http_exchange& exchange, request_context& request) {
    auto caller = read_caller_request(exchange.request(), m_components.field_names);
    if (!caller) {
        send_refusal(exchange, request, http_status::bad_request, caller.error().detail);
        return false;
    }
    request.caller = std::move(caller).value();
    wait_for_configuration(request);
    request.table = m_components.fleet.table();
    if (request.table == nullptr) {
        send_refusal(exchange, request, http_status::service_unavailable, "no configuration is known yet",
                     m_options.default_retry_after);
        return false;
    }
    request.route = request.table->find_route(request.caller.host_name, request.caller.path);
    if (request.route == nullptr) {
        send_refusal(exchange, request, http_status::not_found, "no route matches");
        return false;
    }
    const bool keys_exist = !request.table->configuration().accounts.empty();
    if (request.route->needs_key && keys_exist) {
        if (request.caller.key)
            request.account = request.table->find_account_by_key(*request.caller.key);
        if (request.account == nullptr) {
            send_refusal(exchange, request, http_status::unauthorized, "the key is missing or unknown");
            return false;
        }
    }
    const std::chrono::milliseconds time_left = request.caller.time_left.value_or(request.route->timeout);
    const bool limited = request.route->timeout.count() > 0;
    request.answer_by = request.arrived_at + (limited ? std::min(time_left, request.route->timeout) : time_left);
    return true;
}

bool request_gateway::admit_large_body(http_exchange& exchange, request_context& request) {
    if (has_usable_upstream(m_components.fleet, *request.route, boot_time_now()))
        return admit_account(exchange, request);
    send_refusal(exchange, request, http_status::service_unavailable, "no upstream for a large body",
                 m_options.default_retry_after);
    return false;
}

bool request_gateway::read_body(http_exchange& exchange, request_context& request) {
    const std::size_t limit = request.table->configuration().limits.body_bytes;
    if (m_bodies.asks_before_reading(exchange.request(), limit) && !admit_large_body(exchange, request))
        return false;
    const body_reader::ending end =
        m_bodies.read(exchange, limit, request.answer_by, request.outgoing.body, request.body_memory);
    request.is_body_read = end.is_complete;
    if (end.is_complete)
        return true;
    refund_token(request);
    if (end.status == 0)
        log_completion(request, 0, end.reason);
    else
        send_refusal(exchange, request, end.status, end.reason, end.retry_after);
    return false;
}

void request_gateway::refund_token(request_context& request) {
    if (request.has_token && request.account != nullptr)
        m_components.limiter.refund_token(request.account->name);
    request.has_token = false;
}

bool request_gateway::admit_fingerprint(http_exchange& exchange, request_context& request) {
    const account_id account = request.account == nullptr ? account_id() : request.account->name;
    request.fingerprint = request_fingerprint(exchange.request(), account, request.outgoing.body);
    if (!m_components.crashes.is_refused(request.fingerprint, boot_time_now()))
        return true;
    refund_token(request);
    send_refusal(exchange, request, http_status::service_unavailable, "the request crashes its upstreams",
                 m_options.default_retry_after);
    return false;
}

bool request_gateway::admit_account(http_exchange& exchange, request_context& request) {
    if (request.account == nullptr || request.has_token)
        return true;
    m_components.limiter.record_demand(request.account->name, boot_time_now());
    request.has_token = acquire_rate_token(request);
    if (request.has_token)
        return true;
    const duration wait = m_components.limiter.time_to_token(*request.account, boot_time_now());
    send_refusal(exchange, request, http_status::too_many_requests, "the account is over its rate", wait);
    return false;
}

bool request_gateway::acquire_rate_token(request_context& request) {
    const steering_account& account = *request.account;
    const time_point now = boot_time_now();
    if (m_components.limiter.try_take(account, now)) {
        request.token_source = "own";
        return true;
    }
    if (!m_components.limiter.may_request_from_pool(account.name, now))
        return false;
    const host_id owner = account_limiter::pool_owner(account.name, m_components.membership, now);
    std::optional<pool_grant> granted;
    if (owner == m_components.membership.options().self)
        granted = m_components.limiter.grant(account, now);
    else
        granted = m_components.exchange.request_tokens(owner, account.name);
    m_components.limiter.apply_grant(account.name, granted.value_or(pool_grant()), boot_time_now());
    if (!granted || granted->tokens == 0)
        return false;
    request.token_source = "pool";
    return true;
}

void request_gateway::forward_request(http_exchange& exchange, request_context& request) {
    request.service = m_splitter.choose(*request.route);
    if (!request.caller.affinity.empty())
        request.object = object_hash(*request.route, request.caller.affinity);
    request.outgoing.id = request.caller.id;
    request.outgoing.is_idempotent = request.route->is_idempotent;
    request.outgoing.head =
        make_upstream_head(exchange.request(), m_components.field_names, request.outgoing.body.size());
    if (request.account != nullptr)
        request.outgoing.head.fields.set(m_components.field_names.account, request.account->name);
    request.subject = make_subject(request);
    m_components.retries.record_request(request.service, boot_time_now());

    exchange.watch_disconnect([this, &request] {
        request.caller_disconnected = true;
        if (request.ticket && m_components.dispatcher.cancel(*request.ticket))
            request.placed->set();
        // A request that is not idempotent is left to complete: the caller could not be told that it was aborted.
        if (request.outgoing.is_idempotent)
            request.canceller->cancel();
        else
            request.canceller->stop_sending();
    });

    do {
        const dispatch_decision decision = select_upstream(request);
        if (decision.type != dispatch_decision::kind::send) {
            request.refusal = decision;
            break;
        }
        run_attempt(request, decision.placed);
    } while (may_retry(request));
    send_response(exchange, request);
}

std::shared_ptr<const attempt_subject> request_gateway::make_subject(const request_context& request) {
    return std::make_shared<const attempt_subject>(attempt_subject{.table = request.table,
                                                                   .route = request.route,
                                                                   .service = request.service,
                                                                   .object = request.object,
                                                                   .fingerprint = request.fingerprint,
                                                                   .id = request.caller.id,
                                                                   .path = request.caller.path,
                                                                   .answer_by = request.answer_by});
}

dispatch_decision request_gateway::select_upstream(request_context& request) {
    const time_point now = boot_time_now();
    dispatch_request wanted;
    wanted.placement = {.route = request.route,
                        .service = request.service,
                        .object = request.object,
                        .account_regions = request.account == nullptr ? nullptr : &request.account->allowed_regions,
                        .tried = request.tried,
                        .answer_by = request.answer_by};
    wanted.priority = request.route->priority;
    wanted.target_at = request.arrived_at + request.route->target_latency;
    if (request.account != nullptr) {
        wanted.account = request.account->name;
        wanted.priority = request.account->priority.value_or(request.route->priority);
    }
    dispatch_decision decision = m_components.dispatcher.decide(wanted, now);
    request.placed_last = decision.placed;
    if (decision.type == dispatch_decision::kind::wait)
        return wait_in_queue(request, wanted);
    if (decision.type == dispatch_decision::kind::send)
        begin_attempt(request, decision.placed);
    return decision;
}

dispatch_decision request_gateway::wait_in_queue(request_context& request, const dispatch_request& wanted) {
    const time_point started = boot_time_now();
    dispatch_decision outcome;
    outcome.reason = "the caller left";
    request.placed = std::make_shared<fiber_event>();
    request.ticket = ++m_last_ticket;
    m_components.dispatcher.enqueue(*request.ticket, wanted, started,
                                    [this, &request, &outcome](waiting_ticket, const dispatch_decision& decision) {
                                        outcome = decision;
                                        if (decision.type == dispatch_decision::kind::send)
                                            begin_attempt(request, decision.placed);
                                        request.placed->set();
                                    });
    request.placed->wait();
    request.ticket.reset();
    request.waited += boot_time_now() - started;
    request.placed_last = outcome.placed;
    return outcome;
}

void request_gateway::begin_attempt(request_context& request, const placement& placed) {
    request.running = m_runner.begin(request.service, placed);
}

void request_gateway::run_attempt(request_context& request, const placement& placed) {
    const time_point started = boot_time_now();
    request.last = m_runner.run(
        {.subject = request.subject, .placed = placed, .running = *request.running, .canceller = request.canceller},
        request.outgoing);
    request.running.reset();
    request.last_attempt = boot_time_now() - started;
    if (request.last.type == upstream_attempt::kind::answered)
        m_components.membership.rooms().record_bytes(request.outgoing.body.size() + request.last.body.size());
    count_attempt(request, placed, request.last);
}

void request_gateway::count_attempt(request_context& request, const placement& placed,
                                    const upstream_attempt& attempt) {
    request.connecting += attempt.connect_time;
    request.tried.push_back(placed.upstream->description().id);
    if (attempt.type == upstream_attempt::kind::unreachable) {
        ++request.unreachable;
        return;
    }
    ++request.attempts;
    request.may_have_run = request.may_have_run || attempt.type != upstream_attempt::kind::not_run;
}

bool request_gateway::may_retry(request_context& request) {
    if (!request.is_open() || request.is_interrupted || boot_time_now() >= request.answer_by)
        return false;
    switch (request.last.type) {
    case upstream_attempt::kind::answered:
        if (!request.outgoing.is_idempotent || request.last.head.status < http_status::first_server_error)
            return false;
        break;
    case upstream_attempt::kind::unreachable:
        return request.unreachable <= m_options.connect_failure_limit;
    case upstream_attempt::kind::not_run:
        break;
    case upstream_attempt::kind::broken:
        if (!request.outgoing.is_idempotent)
            return false;
        break;
    case upstream_attempt::kind::timed_out:
        return false;
    }
    if (request.attempts >= request.route->max_attempts)
        return false;
    return m_components.retries.try_spend(request.service, m_components.membership.size(), boot_time_now());
}

void request_gateway::send_response(http_exchange& exchange, request_context& request) {
    if (!request.is_open()) {
        log_completion(request, 0, "the caller left");
        exchange.abort();
        return;
    }
    if (request.attempts > 0 && request.last.type == upstream_attempt::kind::answered) {
        const unsigned status = request.last.head.status;
        http_response_head head = make_caller_head(request.last.head, m_components.field_names);
        static_cast<void>(respond(exchange, std::move(head), request.last.body));
        log_completion(request, status, "answered");
        return;
    }
    if (request.may_have_run) {
        const bool timed_out = request.last.type == upstream_attempt::kind::timed_out;
        send_refusal(exchange, request, timed_out ? http_status::gateway_timeout : http_status::bad_gateway,
                     request.is_interrupted ? "this host stopped before the response" : request.last.problem);
        return;
    }
    refund_token(request);
    const std::string_view reason = request.refusal.reason != nullptr && *request.refusal.reason != '\0'
                                        ? std::string_view(request.refusal.reason)
                                        : std::string_view(request.last.problem);
    send_refusal(exchange, request, http_status::service_unavailable, reason,
                 std::max(request.refusal.retry_after, duration(std::chrono::milliseconds(100))));
}

void request_gateway::send_refusal(http_exchange& exchange, request_context& request, unsigned status,
                                   std::string_view reason, duration retry_after) {
    http_response_head head{.status = status, .fields = {}, .content_length = {}};
    head.fields.add("Content-Type", "text/plain");
    if (!request.caller.id.empty())
        head.fields.add(m_components.field_names.request_id, request.caller.id);
    if (!request.is_body_read && m_bodies.is_large(exchange.request()))
        head.fields.add("Connection", "close");
    if (retry_after > duration::zero())
        head.fields.add("Retry-After", retry_after_text(retry_after));
    static_cast<void>(respond(exchange, std::move(head), std::string(reason) + "\n"));
    log_completion(request, status, reason);
}

void request_gateway::log_completion(const request_context& request, unsigned status, std::string_view reason) {
    const std::string route = request.route == nullptr ? "" : request.route->name;
    const std::string account = request.account == nullptr ? "" : request.account->name;
    const std::string upstream = request.tried.empty() ? "" : request.tried.back();
    const std::int64_t version = request.table == nullptr ? 0 : request.table->configuration().version;
    const duration taken = boot_time_now() - request.arrived_at;
    const std::chrono::milliseconds target{request.route == nullptr ? std::chrono::milliseconds(0)
                                                                    : request.route->target_latency};
    const bool has_limit = request.answer_by != time_point();
    const std::string reported_load{
        request.last.head.fields.find(m_components.field_names.upstream_load).value_or(std::string_view())};
    const duration left = has_limit ? request.answer_by - boot_time_now() : duration::zero();
    const auto regions =
        request.route == nullptr
            ? std::nullopt
            : allowed_regions(*request.route, request.account == nullptr ? nullptr : &request.account->allowed_regions);
    m_components.log.write(log_level::info, "request", field("request", request.caller.id), field("route", route),
                           field("account", account), field("service", request.service),
                           field("object", request.object.value_or(0)), field("regions", to_text(regions)),
                           field("status", status), field("reason", reason), field("attempts", request.attempts),
                           field("upstream", upstream), field("taken", to_milliseconds(taken)), field("target", target),
                           field("waited", to_milliseconds(request.waited)),
                           field("connecting", to_milliseconds(request.connecting)),
                           field("last_attempt", to_milliseconds(request.last_attempt)),
                           field("distance", to_milliseconds(request.placed_last.distance)),
                           field("expected_load", request.placed_last.load), field("reported_load", reported_load),
                           field("time_left", to_milliseconds(left)), field("configuration", version),
                           field("may_have_run", request.may_have_run), field("token", request.token_source),
                           field("candidates", request.placed_last.candidates),
                           field("expected_wait", to_milliseconds(request.placed_last.expected_wait)),
                           field("expected_work", to_milliseconds(request.placed_last.expected_processing)),
                           field("knows_object", request.placed_last.knows_object),
                           field("fleet_revision", m_components.fleet.position().revision),
                           field("fleet_age", to_milliseconds(m_components.fleet.age(boot_time_now()))));
    m_components.counters.add("ragworthinge_requests_total", {{"route", route}, {"status", std::to_string(status)}});
    m_components.counters.add(
        "ragworthinge_account_requests_total",
        {{"account", account}, {"regions", to_text(regions)}, {"status", std::to_string(status)}});
    if (status != 0)
        m_components.counters.observe_latency({.service = request.service, .region = {}, .account = account}, taken);
}

} // namespace ragworthinge
