#include "host/control_handler.h"

#include "base/digest.h"

#include <boost/json.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

#include <utility>

namespace ragworthinge {

namespace {

constexpr std::string_view token_field = "X-Ragworthinge-Operator-Token";

void answer_json(http_exchange& exchange, unsigned status, const std::string& body) {
    http_response_head head{.status = status};
    head.fields.add("Content-Type", "application/json");
    static_cast<void>(respond(exchange, std::move(head), body + "\n"));
}

void answer_error(http_exchange& exchange, unsigned status, std::string_view message) {
    answer_json(exchange, status, boost::json::serialize(boost::json::object{{"error", message}}));
}

std::string query_value(const boost::urls::url_view& url, std::string_view name) {
    const auto params = url.params();
    const auto found = params.find({name.data(), name.size()});
    return found == params.end() ? std::string() : std::string((*found).value);
}

} // namespace

control_handler::control_handler(control_handler_options options) : m_options(std::move(options)) {}

bool control_handler::is_authorized(const http_exchange& exchange) const {
    const auto token = exchange.request().fields.find(token_field);
    if (!token || m_options.operator_token.empty())
        return false;
    return equal_in_constant_time(sha256(*token), sha256(m_options.operator_token));
}

void control_handler::handle(http_exchange& exchange) {
    const std::string& target = exchange.request().target;
    if (target == "/healthz") {
        answer_json(exchange, 200, R"({"healthy":true})");
        return;
    }
    if (target == "/readyz") {
        const readiness state = m_options.check_readiness();
        answer_json(exchange, state.ready ? 200 : 503,
                    boost::json::serialize(boost::json::object{{"ready", state.ready}, {"reason", state.reason}}));
        return;
    }
    if (target == "/metrics") {
        http_response_head head{.status = 200};
        head.fields.add("Content-Type", "text/plain; version=0.0.4");
        static_cast<void>(respond(exchange, std::move(head), m_options.values.to_prometheus_text()));
        return;
    }
    if (!is_authorized(exchange)) {
        answer_error(exchange, 401, "the operator token is missing or wrong");
        return;
    }
    const auto url = boost::urls::parse_origin_form(target);
    if (!url) {
        answer_error(exchange, 400, "malformed target");
        return;
    }
    const auto path = url->encoded_path();
    answer_operator(exchange, {path.data(), path.size()});
}

void control_handler::answer_operator(http_exchange& exchange, std::string_view path) {
    const std::string& method = exchange.request().method;
    const boost::urls::url_view url = boost::urls::parse_origin_form(exchange.request().target).value();
    if (method == "GET" && path == "/control/status") {
        answer_json(exchange, 200, boost::json::serialize(m_options.describe_status()));
    } else if (method == "GET" && path == "/control/explain") {
        answer_explain(exchange, query_value(url, "id"));
    } else if (method == "GET" && path == "/control/quarantine") {
        answer_quarantine(exchange);
    } else if (method == "POST" && path == "/control/quarantine/release") {
        if (m_options.release_quarantine(query_value(url, "fingerprint")))
            answer_json(exchange, 200, R"({"released":true})");
        else
            answer_error(exchange, 404, "no such request is in quarantine");
    } else {
        answer_error(exchange, 404, "no such control call");
    }
}

void control_handler::answer_explain(http_exchange& exchange, const std::string& id) {
    const explain_record* record = m_options.explanations.find(id);
    if (record == nullptr)
        answer_error(exchange, 404, "this host has no explanation for that request");
    else
        answer_json(exchange, 200, record->to_json());
}

void control_handler::answer_quarantine(http_exchange& exchange) {
    boost::json::array requests;
    for (const poison_record& record : m_options.list_quarantine()) {
        boost::json::array upstreams;
        for (const upstream_crash& death : record.uncleared_crashes())
            upstreams.emplace_back(death.upstream);
        requests.push_back(boost::json::object{{"fingerprint", record.fingerprint},
                                               {"account", record.account},
                                               {"method", record.method},
                                               {"path", record.path},
                                               {"upstreams", std::move(upstreams)}});
    }
    answer_json(exchange, 200, boost::json::serialize(boost::json::object{{"requests", std::move(requests)}}));
}

} // namespace ragworthinge
