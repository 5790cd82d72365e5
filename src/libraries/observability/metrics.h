#pragma once

#include "base/identifiers.h"
#include "observability/latency_summary.h"

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace ragworthinge {

/// Metric names of the five key performance indicators of a deployment.
namespace measure {
inline constexpr std::string_view latency = "ragworthinge_request_latency_seconds";
inline constexpr std::string_view headroom = "ragworthinge_headroom_slots";
inline constexpr std::string_view drain_time = "ragworthinge_drain_time_seconds";
inline constexpr std::string_view worst_served_account = "ragworthinge_worst_served_account_share";
inline constexpr std::string_view within_rate_refusals = "ragworthinge_within_rate_refusals_total";
} // namespace measure

/// Name and value of one label of a series.
struct metric_label {
    std::string name;
    std::string value;

    bool operator<(const metric_label& other) const {
        return std::tie(name, value) < std::tie(other.name, other.value);
    }
};

/// Length of a latency window: long enough for a meaningful p99.9 at 100 requests/s, short enough to follow an
/// incident.
inline constexpr std::chrono::seconds latency_window_length{60};

using metric_labels = std::vector<metric_label>;

/// Labels of a latency series.
struct latency_key {
    service_id service;
    region_id region;
    account_id account;

    bool operator<(const latency_key& other) const {
        return std::tie(service, region, account) < std::tie(other.service, other.region, other.account);
    }
};

/// Counters, gauges and latency summaries of a host, exported in the Prometheus text format.
///
/// Label values must come from the configuration, never from callers, so that the number of series is bounded by the
/// size of the fleet. In addition, each metric has at most `max_series` series; further ones are dropped and counted.
class metrics {
public:
    static constexpr std::size_t max_series = 10'000;

    /// Adds to a counter. Its name must be valid in Prometheus (letters, digits, underscores) and end in `_total`.
    void add(std::string_view counter, const metric_labels& labels = {}, double amount = 1);

    /// Sets a gauge.
    void set(std::string_view gauge, const metric_labels& labels, double value);

    /// Records the latency of a completed request.
    void observe_latency(const latency_key& key, std::chrono::nanoseconds latency);

    /// Ends the current window of all latency series. Call it once per `latency_window_length`.
    void rotate_latency_windows();

    /// Value of a counter or gauge; zero if it does not exist.
    double value(std::string_view name, const metric_labels& labels = {}) const;

    /// Returns all metrics in the Prometheus text format, as served at `/metrics`.
    std::string to_prometheus_text() const;

private:
    enum class kind { counter, gauge };

    struct family {
        kind type = kind::counter;
        std::map<metric_labels, double> series;
    };

    double* find_or_create(std::string_view name, kind type, const metric_labels& labels);

    std::map<std::string, family, std::less<>> m_families;
    std::map<latency_key, latency_summary> m_latencies;
    double m_dropped_series = 0;
};

} // namespace ragworthinge
