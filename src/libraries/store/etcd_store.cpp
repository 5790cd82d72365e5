#include "store/etcd_store.h"

#include "base/http_status.h"
#include "net/await_io.h"
#include "net/fiber_runtime.h"
#include "store/etcd_messages.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/basic_stream.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/object.hpp>
#include <boost/none.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <cassert>
#include <cerrno>
#include <charconv>
#include <optional>
#include <string_view>
#include <unordered_set>
#include <utility>

namespace ragworthinge {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

/// `read` calls are idempotent and may be retried; `write` calls may not be repeated once a byte was sent.
enum class call_kind { read, write };

/// Details of a failed attempt.
struct attempt_failure {
    bool sent = false; ///< At least one byte of the request may have reached the store.
    bool timed_out = false;
    std::string reason;
};

struct raw_response {
    unsigned status = 0;
    std::string body;
};

using exchange_result =
    boost::outcome_v2::basic_result<raw_response, attempt_failure, boost::outcome_v2::policy::all_narrow>;

auto attempt_failed(bool sent, boost::system::error_code problem) {
    return boost::outcome_v2::failure(attempt_failure{sent, problem == beast::error::timeout, problem.message()});
}

result<asio::ip::tcp::endpoint> parse_endpoint(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return failure(error_code::invalid_argument, "store endpoint '" + text + "' is not IP:PORT");
    std::string address_text = text.substr(0, colon);
    if (address_text.size() > 1 && address_text.front() == '[' && address_text.back() == ']')
        address_text = address_text.substr(1, address_text.size() - 2);
    boost::system::error_code problem;
    const auto address = asio::ip::make_address(address_text, problem);
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (problem || parsed.ec != std::errc() || parsed.ptr != end || port == 0)
        return failure(error_code::invalid_argument, "store endpoint '" + text + "' is not IP:PORT");
    return asio::ip::tcp::endpoint(address, port);
}

/// One TCP connection to an endpoint of the store.
struct store_connection {
    using stream_type = beast::basic_stream<asio::ip::tcp, asio::io_context::executor_type>;

    store_connection(fiber_runtime& runtime, std::size_t endpoint)
        : stream(runtime.io().get_executor()), endpoint_index(endpoint) {}

    void close() {
        boost::system::error_code ignored;
        stream.socket().close(ignored);
    }

    /// False if the peer closed the connection or sent bytes that belong to no request. Checked before each reuse,
    /// because a write on a connection that is already closed would have to be reported as outcome_unknown.
    bool is_reusable() {
        char byte = 0;
        const ssize_t received = ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    stream_type stream;
    beast::flat_buffer buffer;
    std::size_t endpoint_index;
    time_point last_used;
};

} // namespace

/// Implementation of `etcd_store`: connections, call budget, circuit breakers and retries.
class etcd_store::client {
public:
    struct endpoint_state {
        asio::ip::tcp::endpoint address;
        std::string name;
        circuit_breaker breaker;
        std::vector<std::unique_ptr<store_connection>> idle;
    };

    client(fiber_runtime& runtime, etcd_store_options options, std::vector<endpoint_state> endpoints,
           std::optional<asio::ip::address> local_address)
        : m_runtime(runtime), m_options(std::move(options)), m_endpoints(std::move(endpoints)),
          m_local_address(std::move(local_address)), m_budget(m_options.budget, monotonic_clock::now()),
          m_next_seed(m_options.seed) {}

    /// Sends a call and converts its response with `read`. Retries the call where that is safe.
    template <class Read>
    auto call(call_kind kind, std::string_view target, const std::string& body, Read read)
        -> decltype(read(std::declval<const json::object&>()));

    result<store_position> watch(const std::string& prefix, store_position from,
                                 const std::function<bool(const std::vector<store_event>&)>& on_events);

    void close();

    etcd_store_counters m_counters;

private:
    struct watch_progress {
        std::int64_t next_revision = 0;
        bool ended_by_callback = false;
        bool received_anything = false;
    };

    template <class Value>
    struct attempt {
        result<Value> outcome;
        bool retry = false;
    };

    template <class Read>
    auto try_once(call_kind kind, std::string_view target, const std::string& body, time_point deadline, Read& read)
        -> attempt<typename decltype(read(std::declval<const json::object&>()))::value_type>;

    result<std::size_t> start_call();
    error classify(call_kind kind, const attempt_failure& problem);
    error classify_status(call_kind kind, const raw_response& response);
    result<json::object> validate_response(const raw_response& response, std::int64_t revision_before);
    time_point attempt_deadline(call_kind kind, time_point deadline) const;
    void report_failure(std::size_t endpoint);

    exchange_result exchange(std::size_t endpoint, std::string_view target, const std::string& body,
                             time_point deadline);
    exchange_result exchange_on(store_connection& connection, std::string_view target, const std::string& body,
                                time_point deadline);
    boost::outcome_v2::basic_result<std::unique_ptr<store_connection>, attempt_failure,
                                    boost::outcome_v2::policy::all_narrow>
    acquire_connection(std::size_t endpoint, time_point deadline, bool allow_reuse);
    boost::outcome_v2::basic_result<void, attempt_failure, boost::outcome_v2::policy::all_narrow>
    send(store_connection& connection, std::string_view target, const std::string& body);
    void return_to_pool(std::unique_ptr<store_connection> connection);

    result<void> run_stream(const std::string& prefix, watch_progress& progress,
                            const std::function<bool(const std::vector<store_event>&)>& on_events);
    result<void> read_stream(store_connection& connection, const std::string& prefix, watch_progress& progress,
                             const std::function<bool(const std::vector<store_event>&)>& on_events);
    result<void> deliver_events(std::string_view line, const std::string& prefix, watch_progress& progress,
                                const std::function<bool(const std::vector<store_event>&)>& on_events);

    fiber_runtime& m_runtime;
    etcd_store_options m_options;
    std::vector<endpoint_state> m_endpoints;
    std::optional<asio::ip::address> m_local_address;
    call_budget m_budget;
    std::uint64_t m_next_seed;
    std::unordered_set<store_connection*> m_active;
    std::size_t m_preferred_endpoint = 0;
    std::int64_t m_highest_revision = 0;
    bool m_closed = false;
};

/// Chooses the endpoint of a call, consumes one call of the budget and records the start in the breaker.
result<std::size_t> etcd_store::client::start_call() {
    if (m_closed)
        return failure(error_code::unavailable, "the store client is closed");
    const time_point now = monotonic_clock::now();
    for (std::size_t offset = 0; offset < m_endpoints.size(); ++offset) {
        const std::size_t endpoint = (m_preferred_endpoint + offset) % m_endpoints.size();
        if (!m_endpoints[endpoint].breaker.allows(now))
            continue;
        if (!m_budget.try_spend(now)) {
            ++m_counters.budget_refusals;
            return failure(error_code::budget_exhausted, "this host's store call budget is exhausted");
        }
        m_endpoints[endpoint].breaker.begin();
        ++m_counters.calls;
        return endpoint;
    }
    ++m_counters.breaker_refusals;
    return failure(error_code::unavailable, "the circuit breakers of all store endpoints are open");
}

void etcd_store::client::report_failure(std::size_t endpoint) {
    ++m_counters.failures;
    m_endpoints[endpoint].breaker.failed(monotonic_clock::now());
    if (m_preferred_endpoint == endpoint)
        m_preferred_endpoint = (endpoint + 1) % m_endpoints.size();
}

/// Gives a read half of the remaining time if there is another endpoint for a second attempt; a write has one attempt.
time_point etcd_store::client::attempt_deadline(call_kind kind, time_point deadline) const {
    if (kind == call_kind::write || m_endpoints.size() == 1)
        return deadline;
    const time_point now = monotonic_clock::now();
    return now + (deadline - now) / 2;
}

error etcd_store::client::classify(call_kind kind, const attempt_failure& problem) {
    if (!problem.sent)
        return {error_code::unavailable, "cannot reach the store: " + problem.reason};
    if (kind == call_kind::write) {
        ++m_counters.unknown_outcomes;
        return {error_code::outcome_unknown, "no answer from the store: " + problem.reason};
    }
    const error_code code = problem.timed_out ? error_code::timeout : error_code::unavailable;
    return {code, "no answer from the store: " + problem.reason};
}

error etcd_store::client::classify_status(call_kind kind, const raw_response& response) {
    error problem = etcd::read_error(response.status, response.body);
    const bool has_no_effect = problem.code == error_code::not_found || problem.code == error_code::invalid_argument ||
                               problem.code == error_code::budget_exhausted;
    if (kind == call_kind::write && !has_no_effect) {
        ++m_counters.unknown_outcomes;
        problem.code = error_code::outcome_unknown;
    }
    return problem;
}

/// Checks the response header. In stream responses it is nested in the member `result`.
result<json::object> etcd_store::client::validate_response(const raw_response& response, std::int64_t revision_before) {
    BOOST_OUTCOME_TRY(json::object parsed, etcd::parse_object(response.body));
    const json::value* wrapped = parsed.if_contains("result");
    const bool is_wrapped = wrapped != nullptr && wrapped->is_object();
    BOOST_OUTCOME_TRY(const std::int64_t revision, etcd::read_revision(is_wrapped ? wrapped->as_object() : parsed));
    // Stream responses carry the revision of the store member that responds, which may lag behind without harm.
    if (revision < revision_before && !is_wrapped)
        return failure(error_code::protocol_violation, "the store returned revision " + std::to_string(revision) +
                                                           " after revision " + std::to_string(revision_before));
    m_highest_revision = std::max(m_highest_revision, revision);
    return parsed;
}

template <class Read>
auto etcd_store::client::try_once(call_kind kind, std::string_view target, const std::string& body, time_point deadline,
                                  Read& read)
    -> attempt<typename decltype(read(std::declval<const json::object&>()))::value_type> {
    const auto endpoint = start_call();
    if (!endpoint)
        return {endpoint.error()};
    const bool is_read = kind == call_kind::read;
    const std::int64_t revision_before = m_highest_revision;
    const exchange_result exchanged = exchange(endpoint.value(), target, body, attempt_deadline(kind, deadline));
    if (!exchanged) {
        report_failure(endpoint.value());
        return {classify(kind, exchanged.error()), is_read || !exchanged.error().sent};
    }
    if (exchanged.value().status != http_status::ok) {
        const error problem = classify_status(kind, exchanged.value());
        const bool refused = problem.code == error_code::not_found || problem.code == error_code::invalid_argument;
        if (refused)
            m_endpoints[endpoint.value()].breaker.succeeded();
        else
            report_failure(endpoint.value());
        return {problem, is_read && !refused};
    }
    auto accepted = validate_response(exchanged.value(), revision_before);
    if (accepted) {
        auto outcome = read(accepted.value());
        if (outcome || outcome.error().code != error_code::protocol_violation) {
            m_endpoints[endpoint.value()].breaker.succeeded();
            return {std::move(outcome)};
        }
        accepted = outcome.error();
    }
    report_failure(endpoint.value());
    if (is_read)
        return {accepted.error(), true};
    ++m_counters.unknown_outcomes;
    return {failure(error_code::outcome_unknown, accepted.error().message)};
}

template <class Read>
auto etcd_store::client::call(call_kind kind, std::string_view target, const std::string& body, Read read)
    -> decltype(read(std::declval<const json::object&>())) {
    const time_point deadline = monotonic_clock::now() + m_options.call_timeout;
    retry_backoff backoff(m_options.backoff, m_next_seed++);
    for (;;) {
        auto last = try_once(kind, target, body, deadline, read);
        const duration delay = backoff.next_delay();
        if (!last.retry || m_closed || monotonic_clock::now() + delay >= deadline)
            return std::move(last.outcome);
        ++m_counters.retries;
        m_runtime.sleep_for(delay);
    }
}

auto etcd_store::client::acquire_connection(std::size_t endpoint, time_point deadline, bool allow_reuse)
    -> boost::outcome_v2::basic_result<std::unique_ptr<store_connection>, attempt_failure,
                                       boost::outcome_v2::policy::all_narrow> {
    endpoint_state& state = m_endpoints[endpoint];
    const time_point now = monotonic_clock::now();
    while (allow_reuse && !state.idle.empty()) {
        std::unique_ptr<store_connection> connection = std::move(state.idle.back());
        state.idle.pop_back();
        if (now - connection->last_used < m_options.idle_connection_timeout && connection->is_reusable())
            return connection;
    }

    auto connection = std::make_unique<store_connection>(m_runtime, endpoint);
    boost::system::error_code problem;
    connection->stream.socket().open(state.address.protocol(), problem);
    if (!problem && m_local_address)
        connection->stream.socket().bind({*m_local_address, 0}, problem);
    if (problem)
        return attempt_failed(false, problem);
    connection->stream.expires_at(std::min(deadline, now + m_options.connect_timeout));
    m_active.insert(connection.get());
    const io_outcome connected =
        await_io([&](auto handler) { connection->stream.async_connect(state.address, std::move(handler)); });
    m_active.erase(connection.get());
    if (connected.failed())
        return attempt_failed(false, connected.failure);
    connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), problem);
    return connection;
}

auto etcd_store::client::send(store_connection& connection, std::string_view target, const std::string& body)
    -> boost::outcome_v2::basic_result<void, attempt_failure, boost::outcome_v2::policy::all_narrow> {
    http::request<http::string_body> request(http::verb::post, beast::string_view(target.data(), target.size()), 11);
    request.set(http::field::host, m_endpoints[connection.endpoint_index].name);
    request.set(http::field::content_type, "application/json");
    request.body() = body;
    request.prepare_payload();
    const io_outcome sent =
        await_io([&](auto handler) { http::async_write(connection.stream, request, std::move(handler)); });
    if (sent.failed())
        return attempt_failed(sent.bytes > 0, sent.failure);
    return boost::outcome_v2::success();
}

exchange_result etcd_store::client::exchange_on(store_connection& connection, std::string_view target,
                                                const std::string& body, time_point deadline) {
    connection.stream.expires_at(deadline);
    BOOST_OUTCOME_TRY(send(connection, target, body));
    http::response_parser<http::string_body> parser;
    parser.body_limit(m_options.max_response_bytes);
    const io_outcome received = await_io(
        [&](auto handler) { http::async_read(connection.stream, connection.buffer, parser, std::move(handler)); });
    if (received.failed())
        return attempt_failed(true, received.failure);
    if (!parser.get().keep_alive() || connection.buffer.size() > 0)
        connection.close();
    return raw_response{parser.get().result_int(), std::move(parser.get().body())};
}

exchange_result etcd_store::client::exchange(std::size_t endpoint, std::string_view target, const std::string& body,
                                             time_point deadline) {
    BOOST_OUTCOME_TRY(auto connection, acquire_connection(endpoint, deadline, true));
    if (m_closed)
        return boost::outcome_v2::failure(attempt_failure{false, false, "the store client is closed"});
    m_active.insert(connection.get());
    auto exchanged = exchange_on(*connection, target, body, deadline);
    m_active.erase(connection.get());
    if (exchanged && connection->stream.socket().is_open())
        return_to_pool(std::move(connection));
    return exchanged;
}

void etcd_store::client::return_to_pool(std::unique_ptr<store_connection> connection) {
    auto& idle = m_endpoints[connection->endpoint_index].idle;
    if (m_closed || idle.size() >= m_options.max_idle_connections)
        return;
    connection->stream.expires_never();
    connection->last_used = monotonic_clock::now();
    idle.push_back(std::move(connection));
}

void etcd_store::client::close() {
    m_closed = true;
    for (store_connection* connection : m_active)
        connection->close();
    for (endpoint_state& endpoint : m_endpoints)
        endpoint.idle.clear();
}

result<store_position>
etcd_store::client::watch(const std::string& prefix, store_position from,
                          const std::function<bool(const std::vector<store_event>&)>& on_events) {
    watch_progress progress{.next_revision = from.revision + 1};
    retry_backoff backoff(m_options.backoff, m_next_seed++);
    time_point last_contact = monotonic_clock::now();
    for (;;) {
        progress.received_anything = false;
        const time_point opened = monotonic_clock::now();
        const auto ended = run_stream(prefix, progress, on_events);
        if (progress.ended_by_callback)
            return store_position{.era = from.era, .revision = progress.next_revision - 1};
        if (!ended && ended.error().code == error_code::not_found)
            return ended.error();
        if (m_closed)
            return failure(error_code::unavailable, "the store client is closed");
        const time_point now = monotonic_clock::now();
        if (progress.received_anything)
            last_contact = now;
        // The backoff is kept if the stream ended early: a store that accepts watches and drops them immediately must
        // not exhaust the call budget for other calls.
        if (progress.received_anything && now - opened > m_options.backoff.cap)
            backoff.reset();
        if (now - last_contact > m_options.watch_reconnect_timeout)
            return store_position{.era = from.era, .revision = progress.next_revision - 1};
        m_runtime.sleep_for(backoff.next_delay());
    }
}

/// Opens one watch stream and delivers its events until it ends.
result<void> etcd_store::client::run_stream(const std::string& prefix, watch_progress& progress,
                                            const std::function<bool(const std::vector<store_event>&)>& on_events) {
    BOOST_OUTCOME_TRY(const std::size_t endpoint, start_call());
    ++m_counters.watch_openings;
    const time_point deadline = monotonic_clock::now() + m_options.call_timeout;
    auto connection = acquire_connection(endpoint, deadline, false);
    if (!connection || m_closed) {
        report_failure(endpoint);
        return failure(error_code::unavailable, connection ? "the store client is closed" : connection.error().reason);
    }
    m_active.insert(connection.value().get());
    auto ended = read_stream(*connection.value(), prefix, progress, on_events);
    m_active.erase(connection.value().get());
    // A stream that broke after it had delivered messages is no failure of the endpoint; `read_stream` has already
    // reported its success to the breaker.
    if (!ended && ended.error().code == error_code::not_found)
        m_endpoints[endpoint].breaker.succeeded();
    else if (!progress.received_anything)
        report_failure(endpoint);
    return ended;
}

result<void> etcd_store::client::read_stream(store_connection& connection, const std::string& prefix,
                                             watch_progress& progress,
                                             const std::function<bool(const std::vector<store_event>&)>& on_events) {
    connection.stream.expires_after(m_options.call_timeout);
    const auto sent = send(connection, "/v3/watch", etcd::watch_request(prefix, progress.next_revision));
    if (!sent)
        return failure(error_code::unavailable, sent.error().reason);
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    std::string& pending = parser.get().body();
    while (!parser.is_done()) {
        const io_outcome received = await_io([&](auto handler) {
            http::async_read_some(connection.stream, connection.buffer, parser, std::move(handler));
        });
        if (received.failed())
            return failure(error_code::unavailable, received.failure.message());
        if (parser.is_header_done() && parser.get().result_int() != http_status::ok)
            return failure(error_code::unavailable, "HTTP status " + std::to_string(parser.get().result_int()));
        if (pending.size() > m_options.max_response_bytes)
            return failure(error_code::protocol_violation, "watch message exceeds the response size limit");
        // Only complete lines are processed; a line truncated by a broken stream is requested again.
        for (auto end = pending.find('\n'); end != std::string::npos; end = pending.find('\n')) {
            const std::string line = pending.substr(0, end);
            pending.erase(0, end + 1);
            const bool is_first = !progress.received_anything;
            BOOST_OUTCOME_TRY(deliver_events(line, prefix, progress, on_events));
            // Success is reported with the first message: a watch that is the breaker's trial call would otherwise
            // block all other calls for as long as it is open.
            if (is_first)
                m_endpoints[connection.endpoint_index].breaker.succeeded();
            if (progress.ended_by_callback)
                return boost::outcome_v2::success();
            connection.stream.expires_after(m_options.watch_idle_timeout);
        }
    }
    return boost::outcome_v2::success();
}

result<void> etcd_store::client::deliver_events(std::string_view line, const std::string& prefix,
                                                watch_progress& progress,
                                                const std::function<bool(const std::vector<store_event>&)>& on_events) {
    BOOST_OUTCOME_TRY(etcd::watch_message message, etcd::read_watch_message(line));
    if (message.compacted)
        return failure(error_code::not_found, "the revisions to watch were compacted");
    if (message.canceled)
        return failure(error_code::unavailable, "the store canceled the watch");
    progress.received_anything = true;
    m_highest_revision = std::max(m_highest_revision, message.revision);
    std::erase_if(message.events, [&](const store_event& event) {
        return event.position.revision < progress.next_revision || !event.key.starts_with(prefix);
    });
    if (message.events.empty())
        return boost::outcome_v2::success();
    const auto is_older = [](const store_event& left, const store_event& right) {
        return left.position < right.position;
    };
    if (!std::is_sorted(message.events.begin(), message.events.end(), is_older))
        return failure(error_code::protocol_violation, "the store sent watch events out of order");
    progress.next_revision = message.events.back().position.revision + 1;
    progress.ended_by_callback = !on_events(message.events);
    return boost::outcome_v2::success();
}

result<std::unique_ptr<etcd_store>> etcd_store::create(fiber_runtime& runtime, etcd_store_options options) {
    if (options.endpoints.empty())
        return failure(error_code::invalid_argument, "the store needs at least one endpoint");
    if (options.call_timeout <= duration::zero() || options.connect_timeout <= duration::zero() ||
        options.watch_idle_timeout <= duration::zero())
        return failure(error_code::invalid_argument, "timeouts of the store client must be positive");
    if (options.budget.rate_per_second <= 0 || options.budget.burst < 1)
        return failure(error_code::invalid_argument, "the store client's call budget must allow at least one call");
    if (options.breaker.failure_threshold < 1)
        return failure(error_code::invalid_argument, "the circuit breaker's failure threshold must be at least one");
    std::vector<client::endpoint_state> endpoints;
    for (const std::string& name : options.endpoints) {
        BOOST_OUTCOME_TRY(const auto address, parse_endpoint(name));
        const std::uint64_t seed = options.seed * options.endpoints.size() + endpoints.size();
        endpoints.push_back({address, name, circuit_breaker(options.breaker, seed), {}});
    }
    std::optional<asio::ip::address> local_address;
    if (!options.local_address.empty()) {
        boost::system::error_code problem;
        local_address = asio::ip::make_address(options.local_address, problem);
        if (problem)
            return failure(error_code::invalid_argument,
                           "local address '" + options.local_address + "' is not an IP address");
    }
    auto created = std::make_unique<client>(runtime, std::move(options), std::move(endpoints), local_address);
    return std::unique_ptr<etcd_store>(new etcd_store(std::move(created)));
}

etcd_store::etcd_store(std::unique_ptr<client> client) : m_client(std::move(client)) {}

etcd_store::~etcd_store() = default;

void etcd_store::close() {
    m_client->close();
}

const etcd_store_counters& etcd_store::counters() const noexcept {
    return m_client->m_counters;
}

result<std::optional<store_entry>> etcd_store::get(const std::string& key) {
    const auto read = [&](const json::object& response) -> result<std::optional<store_entry>> {
        BOOST_OUTCOME_TRY(store_range range, etcd::read_range(response));
        if (range.entries.empty())
            return std::optional<store_entry>();
        if (range.entries.size() > 1 || range.entries.front().key != key)
            return failure(error_code::protocol_violation, "the store returned a key that was not requested");
        return std::optional<store_entry>(std::move(range.entries.front()));
    };
    return m_client->call(call_kind::read, "/v3/kv/range", etcd::range_request(key), read);
}

result<store_range> etcd_store::get_prefix(const std::string& prefix) {
    const auto read = [&](const json::object& response) -> result<store_range> {
        BOOST_OUTCOME_TRY(store_range range, etcd::read_range(response));
        for (const store_entry& entry : range.entries) {
            if (!entry.key.starts_with(prefix))
                return failure(error_code::protocol_violation, "the store returned a key outside the requested prefix");
        }
        return range;
    };
    return m_client->call(call_kind::read, "/v3/kv/range", etcd::prefix_request(prefix), read);
}

result<store_transaction_result> etcd_store::commit(const store_transaction& transaction) {
    const auto is_get = [](const store_operation& operation) {
        return operation.type == store_operation::kind::get;
    };
    const bool only_reads = std::all_of(transaction.success.begin(), transaction.success.end(), is_get) &&
                            std::all_of(transaction.failure.begin(), transaction.failure.end(), is_get);
    return m_client->call(only_reads ? call_kind::read : call_kind::write, "/v3/kv/txn",
                          etcd::transaction_request(transaction), etcd::read_transaction);
}

result<std::int64_t> etcd_store::grant_lease(std::chrono::seconds ttl) {
    return m_client->call(call_kind::write, "/v3/lease/grant", etcd::lease_grant_request(ttl), etcd::read_lease_id);
}

result<std::chrono::seconds> etcd_store::keep_lease_alive(std::int64_t lease) {
    const auto read = [](const json::object& response) -> result<std::chrono::seconds> {
        BOOST_OUTCOME_TRY(const std::chrono::seconds ttl, etcd::read_lease_ttl(response));
        if (ttl.count() <= 0)
            return failure(error_code::not_found, "the lease has ended");
        return ttl;
    };
    // Extending a lease is idempotent, so it is retried like a read.
    return m_client->call(call_kind::read, "/v3/lease/keepalive", etcd::lease_keepalive_request(lease), read);
}

result<store_position> etcd_store::watch_prefix(const std::string& prefix, store_position from,
                                                const std::function<bool(const std::vector<store_event>&)>& on_events) {
    return m_client->watch(prefix, from, on_events);
}

} // namespace ragworthinge
