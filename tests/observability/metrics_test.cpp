#include "observability/metrics.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace ragworthinge;

// Guards against quantile estimates that hide slow requests, by comparison with the exact quantiles.
TEST_CASE("estimated latency quantiles are close to the exact ones") {
    latency_summary summary;
    std::mt19937 random(5);
    std::lognormal_distribution<double> draw(0, 0.7);
    std::vector<double> observed;
    for (int index = 0; index < 50'000; ++index) {
        const auto latency = std::chrono::nanoseconds(static_cast<std::int64_t>(draw(random) * 1e6));
        observed.push_back(std::chrono::duration<double>(latency).count());
        summary.observe(latency);
    }
    std::sort(observed.begin(), observed.end());
    for (std::size_t index = 0; index < latency_quantiles.size(); ++index) {
        const auto rank = static_cast<std::size_t>(latency_quantiles[index] * static_cast<double>(observed.size()));
        CAPTURE(latency_quantiles[index]);
        CHECK(summary.quantile(index).count() == Approx(observed[rank]).epsilon(0.1));
    }
    CHECK(summary.count() == 50'000);
}

// Guards against zero quantiles for rarely used services, and against quantiles that include old windows.
TEST_CASE("quantiles of few observations are exact and exclude earlier windows") {
    latency_summary summary;
    CHECK(summary.quantile(0).count() == 0);
    for (const int milliseconds : {40, 10, 30, 20}) {
        summary.observe(std::chrono::milliseconds(milliseconds));
        summary.rotate();
        CHECK(summary.quantile(0).count() == Approx(milliseconds / 1000.0));
    }
    for (const int milliseconds : {40, 10, 30, 20})
        summary.observe(std::chrono::milliseconds(milliseconds));
    summary.rotate();
    CHECK(summary.quantile(0).count() == Approx(0.020));
    CHECK(summary.quantile(2).count() == Approx(0.040));
    CHECK(summary.count() == 8);
    CHECK(summary.sum().count() == Approx(0.200));
}

// Guards against text that Prometheus rejects, and against label values that inject a series.
TEST_CASE("the text format lists every series with escaped labels") {
    metrics all;
    all.add(measure::within_rate_refusals, {{"account", "a\"b\\c\nd"}}, 2);
    all.add(measure::within_rate_refusals, {{"account", "a\"b\\c\nd"}});
    all.set(measure::headroom, {{"region", "north"}}, 12.5);
    all.observe_latency({"permits", "north", "a"}, std::chrono::milliseconds(250));
    CHECK(all.to_prometheus_text() ==
          "# TYPE ragworthinge_headroom_slots gauge\n"
          "ragworthinge_headroom_slots{region=\"north\"} 12.5\n"
          "# TYPE ragworthinge_within_rate_refusals_total counter\n"
          "ragworthinge_within_rate_refusals_total{account=\"a\\\"b\\\\c\\nd\"} 3\n"
          "# TYPE ragworthinge_dropped_series_total counter\n"
          "ragworthinge_dropped_series_total 0\n"
          "# TYPE ragworthinge_request_latency_seconds summary\n"
          "ragworthinge_request_latency_seconds_count{service=\"permits\",region=\"north\",account=\"a\"} 1\n"
          "ragworthinge_request_latency_seconds_sum{service=\"permits\",region=\"north\",account=\"a\"} 0.25\n"
          "ragworthinge_request_latency_seconds{service=\"permits\",region=\"north\",account=\"a\",quantile=\"0.5\"} "
          "0.25\n"
          "ragworthinge_request_latency_seconds{service=\"permits\",region=\"north\",account=\"a\",quantile=\"0.9\"} "
          "0.25\n"
          "ragworthinge_request_latency_seconds{service=\"permits\",region=\"north\",account=\"a\",quantile=\"0.99\"} "
          "0.25\n"
          "ragworthinge_request_latency_seconds{service=\"permits\",region=\"north\",account=\"a\",quantile=\"0.999\"} "
          "0.25\n");
}

// Guards against unbounded memory for label values.
TEST_CASE("series beyond the limit are dropped and counted") {
    metrics all;
    for (std::size_t index = 0; index < metrics::max_series + 3; ++index)
        all.add("ragworthinge_requests_total", {{"account", std::to_string(index)}});
    CHECK(all.to_prometheus_text().find("ragworthinge_dropped_series_total 3\n") != std::string::npos);
    CHECK(all.value("ragworthinge_requests_total", {{"account", "5"}}) == 1);
    CHECK(all.value("ragworthinge_requests_total", {{"account", "10001"}}) == 0);
}
