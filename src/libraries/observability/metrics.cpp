#include "observability/metrics.h"

#include <array>
#include <cassert>
#include <charconv>

namespace ragworthinge {

namespace {

constexpr std::string_view dropped_series_name = "ragworthinge_dropped_series_total";

/// Returns the shortest text that parses to the same number.
std::string format_number(double value) {
    std::array<char, 32> text{};
    const auto written = std::to_chars(text.data(), text.data() + text.size(), value);
    return {text.data(), written.ptr};
}

std::string escape_label(std::string_view value) {
    std::string escaped;
    for (const char letter : value) {
        if (letter == '\\' || letter == '"') {
            escaped += '\\';
            escaped += letter;
        } else if (letter == '\n') {
            escaped += "\\n";
        } else {
            escaped += letter;
        }
    }
    return escaped;
}

std::string format_labels(const metric_labels& labels) {
    if (labels.empty())
        return {};
    std::string text = "{";
    for (const metric_label& label : labels) {
        if (text.size() > 1)
            text += ',';
        text += label.name + "=\"" + escape_label(label.value) + "\"";
    }
    return text + "}";
}

void append_sample(std::string& text, std::string_view name, const metric_labels& labels, double value) {
    text += name;
    text += format_labels(labels) + " " + format_number(value) + "\n";
}

void append_type(std::string& text, std::string_view name, std::string_view type) {
    text += "# TYPE ";
    text += name;
    text += ' ';
    text += type;
    text += '\n';
}

void append_summary(std::string& text, const latency_key& key, const latency_summary& summary) {
    metric_labels labels{{"service", key.service}, {"region", key.region}, {"account", key.account}};
    append_sample(text, std::string(measure::latency) + "_count", labels, static_cast<double>(summary.count()));
    append_sample(text, std::string(measure::latency) + "_sum", labels, summary.sum().count());
    labels.push_back({"quantile", {}});
    for (std::size_t index = 0; index < latency_quantiles.size(); ++index) {
        labels.back().value = format_number(latency_quantiles[index]);
        append_sample(text, measure::latency, labels, summary.quantile(index).count());
    }
}

} // namespace

void metrics::add(std::string_view counter, const metric_labels& labels, double amount) {
    assert(amount >= 0);
    if (double* value = find_or_create(counter, kind::counter, labels))
        *value += amount;
}

void metrics::set(std::string_view gauge, const metric_labels& labels, double value) {
    if (double* current = find_or_create(gauge, kind::gauge, labels))
        *current = value;
}

void metrics::observe_latency(const latency_key& key, std::chrono::nanoseconds latency) {
    if (m_latencies.size() >= max_series && !m_latencies.contains(key)) {
        ++m_dropped_series;
        return;
    }
    m_latencies[key].observe(latency);
}

void metrics::rotate_latency_windows() {
    for (auto& [key, summary] : m_latencies)
        summary.rotate();
}

double metrics::value(std::string_view name, const metric_labels& labels) const {
    const auto found = m_families.find(name);
    if (found == m_families.end())
        return 0;
    const auto series = found->second.series.find(labels);
    return series == found->second.series.end() ? 0 : series->second;
}

double* metrics::find_or_create(std::string_view name, kind type, const metric_labels& labels) {
    auto found = m_families.find(name);
    if (found == m_families.end())
        found = m_families.emplace(std::string(name), family{type, {}}).first;
    family& metric_family = found->second;
    assert(metric_family.type == type);
    const auto series = metric_family.series.find(labels);
    if (series != metric_family.series.end())
        return &series->second;
    if (metric_family.series.size() >= max_series) {
        ++m_dropped_series;
        return nullptr;
    }
    return &metric_family.series.emplace(labels, 0).first->second;
}

std::string metrics::to_prometheus_text() const {
    std::string text;
    for (const auto& [name, metric_family] : m_families) {
        append_type(text, name, metric_family.type == kind::counter ? "counter" : "gauge");
        for (const auto& [labels, value] : metric_family.series)
            append_sample(text, name, labels, value);
    }
    append_type(text, dropped_series_name, "counter");
    append_sample(text, dropped_series_name, {}, m_dropped_series);
    append_type(text, measure::latency, "summary");
    for (const auto& [key, summary] : m_latencies)
        append_summary(text, key, summary);
    return text;
}

} // namespace ragworthinge
