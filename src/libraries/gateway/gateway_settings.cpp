#include "gateway/gateway_settings.h"

#include "configuration/settings_document.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace ragworthinge {

namespace {

constexpr std::string_view bounds_field = "bounds";
constexpr std::size_t bytes_per_megabyte = 1024UL * 1024;

ip_endpoint read_endpoint(object_reader& reader, std::string_view name, presence wanted) {
    return reader.parsed(name, wanted, [](std::string_view text) { return parse_ip_endpoint(text); });
}

gateway_addresses read_addresses(object_reader& reader) {
    gateway_addresses listen;
    listen.callers = read_endpoint(reader, "callers", presence::required);
    listen.readiness = read_endpoint(reader, "readiness", presence::required);
    listen.lookups = read_endpoint(reader, "lookups", presence::required);
    listen.peers = read_endpoint(reader, "peers", presence::required);
    listen.metrics = read_endpoint(reader, "metrics", presence::optional);
    return listen;
}

std::chrono::milliseconds read_seconds(object_reader& reader, std::string_view name,
                                       std::chrono::milliseconds fallback) {
    constexpr number_range valid_range{.minimum = 0.1, .maximum = 86'400};
    const std::chrono::duration<double> fallback_seconds = fallback;
    const std::chrono::duration<double> value(
        reader.computed_number(name, presence::optional, valid_range, fallback_seconds.count()));
    return std::chrono::duration_cast<std::chrono::milliseconds>(value);
}

gateway_bounds read_bounds(object_reader& reader, const gateway_bounds& fallback) {
    gateway_bounds bounds = fallback;
    bounds.lookup_lifetime = read_seconds(reader, "lookup_lifetime_s", bounds.lookup_lifetime);
    bounds.stop_time = read_seconds(reader, "stop_time_s", bounds.stop_time);
    bounds.retry_ratio = reader.computed_number("retry_ratio", presence::optional, {}, bounds.retry_ratio);
    bounds.extra_retries = reader.computed_number("extra_retries", presence::optional, {}, bounds.extra_retries);
    bounds.retry_window = read_seconds(reader, "retry_window_s", bounds.retry_window);
    return bounds;
}

/// Reads a limit of the host; zero and a missing field mean that it is unknown.
std::optional<double> read_limit(object_reader& reader, std::string_view name, double most) {
    const double value =
        reader.computed_number(name, presence::optional, number_range{.minimum = 0, .maximum = most}, 0);
    return value > 0 ? std::optional(value) : std::nullopt;
}

std::optional<std::int64_t> read_count(object_reader& reader, std::string_view name) {
    constexpr double most = 1'000'000'000;
    const std::optional<double> value = read_limit(reader, name, most);
    return value && *value >= 1 ? std::optional(static_cast<std::int64_t>(*value)) : std::nullopt;
}

gateway_settings read_settings(object_reader& reader, const gateway_bounds& fallback) {
    gateway_settings settings;
    settings.bounds = fallback;
    settings.host = reader.text("host", presence::required);
    settings.region = reader.text("region", presence::required);
    settings.failure_domain = reader.text("failure_domain", presence::required);
    constexpr number_range capacity_range{.minimum = 0.001, .maximum = 1024};
    settings.capacity = reader.computed_number("capacity", presence::optional, capacity_range, settings.capacity);
    constexpr double most_link_mbps = 10'000'000;
    settings.link_mbps = read_limit(reader, "link_mbps", most_link_mbps);
    settings.memory_mb = read_count(reader, "memory_mb");
    settings.descriptors = read_count(reader, "descriptors");
    reader.object("listen", presence::required,
                  [&](object_reader& listen) { settings.listen = read_addresses(listen); });
    settings.store = read_endpoint(reader, "store", presence::required);
    reader.objects("failure_domains", presence::required, [&](object_reader& domain) {
        const auto name = domain.text("name", presence::required);
        settings.regions[name] = domain.text("region", presence::required);
    });
    reader.object(bounds_field, presence::optional,
                  [&](object_reader& bounds) { settings.bounds = read_bounds(bounds, fallback); });
    settings.level = reader.choice("log_level",
                                   std::vector<std::pair<std::string, log_level>>{{"debug", log_level::debug},
                                                                                  {"info", log_level::info},
                                                                                  {"warn", log_level::warn},
                                                                                  {"error", log_level::error}},
                                   log_level::info);
    reader.finish();
    return settings;
}

} // namespace

gateway_settings_result read_gateway_settings(const std::string& file, std::string_view text,
                                              const gateway_bounds& fallback) {
    auto outcome = read_settings_document<gateway_settings_result>(
        file, text, [&](object_reader& reader) { return read_settings(reader, fallback); });
    const std::vector<std::string> fields = gateway_settings_fields();
    const auto is_kept = [&](const finding& problem) {
        return !problem.path.starts_with(bounds_field) ||
               std::find(fields.begin(), fields.end(), problem.path) == fields.end();
    };
    const auto replaced = std::stable_partition(outcome.findings.begin(), outcome.findings.end(), is_kept);
    std::move(replaced, outcome.findings.end(), std::back_inserter(outcome.replaced_bounds));
    outcome.findings.erase(replaced, outcome.findings.end());
    return outcome;
}

std::optional<std::size_t> memory_limit(const gateway_settings& settings) {
    if (!settings.memory_mb)
        return std::nullopt;
    return static_cast<std::size_t>(*settings.memory_mb) * bytes_per_megabyte;
}

std::size_t body_memory(const gateway_settings& settings) {
    constexpr std::size_t least_memory = 160 * bytes_per_megabyte;
    constexpr std::size_t body_part = 5;
    return std::max(memory_limit(settings).value_or(least_memory), least_memory) / body_part;
}

std::vector<std::string> gateway_settings_fields() {
    return settings_fields([](object_reader& reader) { return read_settings(reader, {}); });
}

} // namespace ragworthinge
