#include "host/lookup_handler.h"

#include <boost/json.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

namespace ragworthinge {

namespace {

std::string query_value(const boost::urls::url_view& url, std::string_view name) {
    const auto params = url.params();
    const auto found = params.find({name.data(), name.size()});
    return found == params.end() ? std::string() : std::string((*found).value);
}

} // namespace

bool lookup_handler::matches(std::string_view target) noexcept {
    if (!target.starts_with(lookup_path))
        return false;
    return target.size() == lookup_path.size() || target[lookup_path.size()] == '?';
}

void lookup_handler::handle(http_exchange& exchange) const {
    const std::string& target = exchange.request().target;
    const auto url = boost::urls::parse_origin_form(target);
    if (!url || exchange.request().method != "GET") {
        static_cast<void>(respond(exchange, {.status = 400}, "{\"error\":\"not a look-up\"}\n"));
        return;
    }
    std::string client = query_value(*url, "client");
    if (client.empty())
        client = exchange.remote_address();
    const lookup_result planned = m_options.plan(query_value(*url, "service"), client);

    boost::json::array hosts;
    for (const lookup_host& host : planned.hosts)
        hosts.push_back(boost::json::object{{"host", host.host},
                                            {"region", host.region},
                                            {"address", host.caller.address},
                                            {"port", host.caller.port}});
    const boost::json::object body{{"ttl_seconds", planned.ttl.count()}, {"hosts", std::move(hosts)}};

    http_response_head head{.status = planned.hosts.empty() ? 503U : 200U};
    head.fields.add("Content-Type", "application/json");
    head.fields.add("Cache-Control", "max-age=" + std::to_string(planned.ttl.count()));
    static_cast<void>(respond(exchange, std::move(head), boost::json::serialize(body) + "\n"));
}

} // namespace ragworthinge
