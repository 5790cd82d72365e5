#include "configuration/fleet_configuration_reader.h"

#include "configuration/configuration_names.h"
#include "configuration/configuration_reviewer.h"
#include "configuration/configuration_validator.h"
#include "configuration/object_reader.h"

namespace ragworthinge {

namespace {

constexpr integer_range timeout_range_ms = {1, 600'000};
constexpr integer_range queue_range = {1, 1'000'000};
constexpr integer_range port_range = {1, 65'535};
constexpr integer_range slot_range = {1, 10'000};
constexpr integer_range ramp_range_seconds = {1, 86'400};
constexpr integer_range ttl_range_seconds = {1, 300};
constexpr number_range megabit_range = {0.001, 10'000'000};
constexpr number_range rate_range = {0.001, 10'000'000};
// A burst below one request would never let a request through.
constexpr number_range burst_range = {1, 10'000'000};
constexpr number_range weight_range = {0.001, 1'000};

template <class Enumeration>
std::vector<std::pair<std::string, Enumeration>> choices_of(const std::vector<Enumeration>& values) {
    std::vector<std::pair<std::string, Enumeration>> choices;
    choices.reserve(values.size());
    for (const auto value : values)
        choices.emplace_back(to_string(value), value);
    return choices;
}

const auto& upstream_states() {
    static const auto states = choices_of<upstream_state>({upstream_state::active, upstream_state::leaving});
    return states;
}

const auto& shift_states() {
    static const auto states = choices_of<shift_state>({shift_state::planned, shift_state::running, shift_state::paused,
                                                        shift_state::finished, shift_state::cancelled});
    return states;
}

const auto& drain_states() {
    static const auto states = choices_of<drain_state>(
        {drain_state::planned, drain_state::running, drain_state::finished, drain_state::cancelled});
    return states;
}

region_configuration read_region(object_reader& reader) {
    region_configuration region;
    region.name = reader.name("name");
    region.failure_domains = reader.names("failure_domains", presence::required);
    return region;
}

link_configuration read_link(object_reader& reader) {
    link_configuration link;
    link.from = reader.name("from");
    link.to = reader.name("to");
    link.megabits_per_second = reader.number("megabits_per_second", presence::required, megabit_range);
    return link;
}

upstream_configuration read_upstream(object_reader& reader) {
    upstream_configuration upstream;
    upstream.name = reader.name("name");
    upstream.address = reader.text("address", presence::required);
    upstream.port = static_cast<std::uint16_t>(reader.integer("port", presence::required, port_range));
    upstream.region = reader.name("region");
    upstream.failure_domain = reader.name("failure_domain");
    upstream.slots = static_cast<std::uint32_t>(reader.integer("slots", presence::required, slot_range));
    upstream.state = reader.choice("state", upstream_states(), upstream_state::active);
    return upstream;
}

service_configuration read_service(object_reader& reader) {
    service_configuration service;
    service.name = reader.name("name");
    service.request_timeout = std::chrono::milliseconds(
        reader.integer("request_timeout_ms", presence::optional, timeout_range_ms, service.request_timeout.count()));
    service.queue_limit =
        static_cast<std::uint32_t>(reader.integer("queue_limit", presence::optional, queue_range, service.queue_limit));
    reader.objects("upstreams", presence::required,
                   [&](object_reader& upstream) { service.upstreams.push_back(read_upstream(upstream)); });
    return service;
}

route_configuration read_route(object_reader& reader) {
    route_configuration route;
    route.path_prefix = reader.text("path_prefix", presence::required);
    route.service = reader.name("service");
    route.open = reader.boolean("open", false);
    route.accounts = reader.names("accounts");
    route.idempotent_methods = reader.texts("idempotent_methods");
    return route;
}

account_configuration read_account(object_reader& reader) {
    account_configuration account;
    account.name = reader.name("name");
    account.rate_per_second = reader.number("rate_per_second", presence::required, rate_range);
    account.burst = reader.number("burst", presence::required, burst_range);
    account.weight = reader.number("weight", presence::optional, weight_range, account.weight);
    return account;
}

key_configuration read_key(object_reader& reader) {
    key_configuration key;
    key.id = reader.name("id");
    key.account = reader.name("account");
    key.digest = reader.text("digest", presence::required);
    return key;
}

shift_configuration read_shift(object_reader& reader) {
    shift_configuration shift;
    shift.id = reader.name("id");
    shift.from = reader.name("from");
    shift.to = reader.name("to");
    shift.services = reader.names("services", presence::required);
    shift.cap_requests_per_second = reader.number("cap_requests_per_second", presence::required, rate_range);
    shift.cap_megabits_per_second = reader.number("cap_megabits_per_second", presence::required, megabit_range);
    shift.ramp = std::chrono::seconds(
        reader.integer("ramp_seconds", presence::optional, ramp_range_seconds, shift.ramp.count()));
    shift.state = reader.choice("state", shift_states(), shift_state::planned);
    return shift;
}

drain_configuration read_drain(object_reader& reader) {
    drain_configuration drain;
    drain.id = reader.name("id");
    drain.target = reader.text("target", presence::required);
    drain.starts_at = reader.text("starts_at", presence::optional);
    drain.state = reader.choice("state", drain_states(), drain_state::planned);
    return drain;
}

client_block_configuration read_client_block(object_reader& reader) {
    client_block_configuration block;
    block.prefix = reader.text("prefix", presence::required);
    block.site = reader.name("site");
    return block;
}

template <class Element>
std::vector<Element> read_list(object_reader& reader, std::string_view name, presence wanted,
                               Element (*read)(object_reader&)) {
    std::vector<Element> elements;
    reader.objects(name, wanted, [&](object_reader& element) { elements.push_back(read(element)); });
    return elements;
}

fleet_configuration read_configuration(object_reader& reader) {
    fleet_configuration configuration;
    configuration.revision_comment = reader.text("revision_comment", presence::optional);
    configuration.regions = read_list(reader, "regions", presence::required, read_region);
    configuration.links = read_list(reader, "links", presence::optional, read_link);
    configuration.services = read_list(reader, "services", presence::required, read_service);
    configuration.routes = read_list(reader, "routes", presence::required, read_route);
    configuration.client_accounts = read_list(reader, "client_accounts", presence::optional, read_account);
    configuration.keys = read_list(reader, "keys", presence::optional, read_key);
    configuration.shifts = read_list(reader, "shifts", presence::optional, read_shift);
    configuration.drains = read_list(reader, "drains", presence::optional, read_drain);
    configuration.client_blocks = read_list(reader, "client_blocks", presence::optional, read_client_block);
    reader.object("lookup", presence::optional, [&](object_reader& lookup) {
        configuration.lookup_ttl = std::chrono::seconds(
            lookup.integer("ttl_seconds", presence::optional, ttl_range_seconds, configuration.lookup_ttl.count()));
    });
    reader.finish();
    return configuration;
}

} // namespace

fleet_configuration_result read_fleet_configuration(const std::string& file, std::string_view text) {
    auto source = read_document(file, text);
    if (!source.has_value)
        return {{}, std::move(source.findings), {}};
    reading_context context;
    object_reader reader(context, source.content.value());
    fleet_configuration_result outcome{read_configuration(reader), std::move(source.findings), {}};
    auto problems = validate_configuration(outcome.configuration);
    context.problems.insert(context.problems.end(), problems.begin(), problems.end());
    const auto located = locate_problems(context.problems, source.content);
    outcome.findings.insert(outcome.findings.end(), located.begin(), located.end());
    if (outcome.findings.empty())
        outcome.warnings = locate_problems(review_configuration(outcome.configuration), source.content);
    return outcome;
}

std::vector<std::string> fleet_configuration_fields() {
    std::set<std::string> fields;
    reading_context context;
    context.known_fields = &fields;
    const boost::json::value empty = boost::json::object{};
    object_reader reader(context, empty);
    read_configuration(reader);
    return {fields.begin(), fields.end()};
}

} // namespace ragworthinge
