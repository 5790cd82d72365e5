#pragma once

#include "base/time.h"

namespace ragworthinge {

struct call_budget_options {
    /// Average calls per second. The store serves about 2,000 reads/s for the whole fleet, so twelve hosts at this rate
    /// leave capacity for operators.
    double rate_per_second = 100;
    double burst = 200; ///< Calls that may start without delay after an idle period.
};

/// Token bucket that limits this host's calls to the store, including retries.
class call_budget {
public:
    call_budget(const call_budget_options& options, time_point now);

    /// Consumes one call; false if none is available.
    bool try_spend(time_point now);

private:
    call_budget_options m_options;
    double m_available;
    time_point m_refilled_at;
};

} // namespace ragworthinge
