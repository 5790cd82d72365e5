#pragma once

#include "base/identifiers.h"
#include "base/time.h"
#include "steering/sliding_window.h"

#include <map>

namespace ragworthinge {

struct fleet_retry_budget_options {
    double ratio = 0.2;          ///< Retries allowed per request of the service.
    double fixed_allowance = 50; ///< Additional retries allowed per window, for the whole fleet.
    duration window = std::chrono::seconds(10);
    /// Fraction of the budget that is used, since hosts that restart forget what they have sent.
    double used_fraction = 0.85;
};

/// Bounds the retries per service over all hosts together: each host spends a fraction of its own requests and an equal
/// share of the fixed allowance.
///
/// Designed for upstreams that shed or fail many requests at once, where unbounded retries would double the load just
/// when capacity is short.
class fleet_retry_budget {
public:
    explicit fleet_retry_budget(fleet_retry_budget_options options) : m_options(options) {}

    /// Counts the first attempt of a request, or a request that is refused.
    void record_request(const service_id& service, time_point now);

    /// Takes one retry from the budget; returns false if none is left in the window.
    bool try_spend(const service_id& service, std::size_t hosts, time_point now);

private:
    struct service_state {
        explicit service_state(duration window) : requests(window), retries(window) {}

        sliding_window requests;
        sliding_window retries;
    };

    service_state& state_of(const service_id& service);

    fleet_retry_budget_options m_options;
    std::map<service_id, service_state> m_services;
};

} // namespace ragworthinge
