#include "operators/command_runtime.h"

#include "net/fiber_runtime.h"
#include "store/etcd_store.h"

#include <utility>

namespace ragworthinge {

namespace {

constexpr std::chrono::seconds control_timeout{5};
constexpr std::size_t max_response_bytes = 64UL * 1024 * 1024;

} // namespace

command_runtime::command_runtime() = default;

command_runtime::~command_runtime() = default;

int command_runtime::run_blocking(const std::function<int()>& body) {
    m_runtime = std::make_unique<fiber_runtime>();
    int exit_code = 0;
    m_runtime->spawn([&] {
        exit_code = body();
        m_runtime->stop();
    });
    m_runtime->run();
    return exit_code;
}

result<std::unique_ptr<platform_store>> command_runtime::connect_store(const std::vector<ip_endpoint>& endpoints) {
    if (!m_runtime)
        return failure(error_code::unavailable, "the store is only available inside run_blocking");
    etcd_store_options options;
    for (const ip_endpoint& endpoint : endpoints)
        options.endpoints.push_back(to_text(endpoint));
    BOOST_OUTCOME_TRY(auto store, etcd_store::create(*m_runtime, std::move(options)));
    return std::unique_ptr<platform_store>(std::move(store));
}

result<control_response> command_runtime::send_control_request(const control_request& request) {
    if (!m_runtime)
        return failure(error_code::unavailable, "hosts can only be called inside run_blocking");
    const time_point deadline = monotonic_clock::now() + control_timeout;
    const network_endpoint endpoint{.address = request.endpoint.address, .port = request.endpoint.port};
    BOOST_OUTCOME_TRY(const auto connection, http_connection::connect(*m_runtime, endpoint, deadline));

    http_request_head head{.method = request.method, .target = request.target};
    head.fields.add("Host", to_text(request.endpoint));
    head.fields.add("Connection", "close");
    head.fields.add("X-Ragworthinge-Operator-Token", request.operator_token);
    if (request.method != "GET")
        head.content_length = 0;
    connection->begin_request(head, deadline);
    BOOST_OUTCOME_TRYV(connection->finish_request());
    BOOST_OUTCOME_TRY(const http_response_head response, connection->read_head());
    BOOST_OUTCOME_TRY(std::string body, connection->read_whole_body(max_response_bytes));
    return control_response{.status = response.status, .body = std::move(body)};
}

} // namespace ragworthinge
