#pragma once

#include "net/http_exchange.h"
#include "observability/explain_ring.h"
#include "observability/metrics.h"
#include "requests/poison_record.h"

#include <boost/json/object.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace ragworthinge {

/// Whether this host can serve callers.
struct readiness {
    bool ready = false;
    std::string reason; ///< Why not.
};

/// Collaborators of a control_handler; all outlive it.
struct control_handler_options {
    std::string operator_token; ///< Empty: operators' calls are refused.
    metrics& values;
    explain_ring& explanations;
    std::function<readiness()> check_readiness;
    std::function<boost::json::object()> describe_status;
    std::function<std::vector<poison_record>()> list_quarantine;
    std::function<bool(const std::string& fingerprint)> release_quarantine;
};

/// Answers operators, health checks and metrics collectors on the control address.
class control_handler {
public:
    explicit control_handler(control_handler_options options);

    void handle(http_exchange& exchange);

private:
    bool is_authorized(const http_exchange& exchange) const;
    void answer_operator(http_exchange& exchange, std::string_view path);
    void answer_explain(http_exchange& exchange, const std::string& id);
    void answer_quarantine(http_exchange& exchange);

    control_handler_options m_options;
};

} // namespace ragworthinge
