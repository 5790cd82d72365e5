#pragma once

#include "base/identifiers.h"
#include "gateway/header_field_names.h"
#include "gateway/upstream_client.h"
#include "observability/event_log.h"
#include "observability/metrics.h"
#include "steering/crash_tracker.h"
#include "steering/request_dispatcher.h"
#include "steering/steering_table.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ragworthinge {

/// What attempts need to know of their request. Shared, since an attempt may outlive the request.
struct attempt_subject {
    std::shared_ptr<const steering_table> table; ///< Owns the route.
    const steering_route* route = nullptr;
    service_id service;
    std::optional<std::uint64_t> object;
    std::uint64_t fingerprint = 0;
    request_id id;
    std::string path;
    time_point answer_by;
};

/// An attempt that was assigned to an upstream.
struct assigned_attempt {
    std::shared_ptr<const attempt_subject> subject;
    placement placed;
    observed_upstream::attempt_handle running;
    std::shared_ptr<attempt_canceller> canceller;
};

/// Components of the host that attempts use.
struct attempt_runner_components {
    request_dispatcher& dispatcher;
    crash_tracker& crashes;
    upstream_client& client;
    const header_field_names& field_names;
    event_log& log;
    metrics& counters;
};

/// Sends requests to their upstreams and records what the ends of the attempts say of upstreams, objects and processing
/// times.
class attempt_runner {
public:
    explicit attempt_runner(attempt_runner_components components) : m_components(components) {}

    /// Counts an attempt at the upstream from now on. The attempt must be run.
    observed_upstream::attempt_handle begin(const service_id& service, const placement& placed);

    /// Sends the request and records the end of the attempt. Sets fields of the request that depend on the attempt.
    /// Blocks the fiber.
    upstream_attempt run(const assigned_attempt& assigned, outgoing_request& outgoing);

    /// Objects that upstreams first handled for this host since the last call.
    std::vector<known_object> take_new_objects();

private:
    void record_end(const assigned_attempt& assigned, const upstream_attempt& attempt);
    void record_success(const assigned_attempt& assigned, time_point now);
    void record_processing_time(const assigned_attempt& assigned, time_point now);
    void record_reported_speed(observed_upstream& upstream, const http_response_head& head, time_point now);
    void record_reported_load(observed_upstream& upstream, const http_response_head& head);
    void check_for_crash(const assigned_attempt& assigned);

    attempt_runner_components m_components;
    std::vector<known_object> m_new_objects;
};

} // namespace ragworthinge
