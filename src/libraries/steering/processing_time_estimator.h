#pragma once

#include "base/identifiers.h"
#include "base/time.h"

#include <chrono>
#include <map>

namespace ragworthinge {

/// Time that an upstream of normal speed takes to process a request.
struct processing_time {
    duration known_object{0}; ///< The upstream has handled the object before.
    duration unknown_object{0};
    double answer_bytes = 0; ///< Average size of a response; zero until the first response.
};

struct processing_time_estimator_options {
    /// Weight of the newest sample.
    double average_weight = 0.1;
    /// Initial estimates as a fraction of the route's latency target. According to the users' workload sheets, the mean
    /// processing time is 1.45 times the target, and 0.3 of that for an object that the upstream knows.
    double initial_known_factor = 0.45;
    double initial_unknown_factor = 1.45;
    /// Limit of one sample's distance from the estimate, as a fraction of the estimate, for samples at the usual speed.
    /// A few requests take many times as long, and some objects are no longer known; both lie on one side.
    double max_deviation = 0.3;
};

/// Estimates the processing time per route from responses that did not wait.
class processing_time_estimator {
public:
    explicit processing_time_estimator(processing_time_estimator_options options = {}) : m_options(options) {}

    /// Returns the estimate for requests of a route with the given target; initialized from the target on first use.
    processing_time estimate(const std::string& route, std::chrono::milliseconds target_latency);

    /// Records a response that took this long without waiting. Whether the upstream knew the object is inferred from
    /// the time itself, because this host's information may be outdated. Returns whether it did.
    bool record(const std::string& route, duration taken);

    /// Records a response of an upstream that reports its speed: the time at the usual speed, and whether the upstream
    /// was expected to know the object. A response that is as fast as those of known objects overrules that.
    ///
    /// Designed for upstreams that are slow by turns: by the time alone, a known object on a slow upstream looks like
    /// an unknown one.
    void record_at_usual_speed(const std::string& route, duration taken, bool expected_known);

    /// Records the size of a response.
    void record_size(const std::string& route, std::size_t bytes);

private:
    processing_time_estimator_options m_options;
    std::map<std::string, processing_time> m_routes;
};

} // namespace ragworthinge
