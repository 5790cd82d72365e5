#pragma once

#include "base/result.h"
#include "base/time.h"
#include "gateway/gateway_settings.h"
#include "gateway/header_field_names.h"
#include "steering/fleet_change.h"
#include "store/platform_store.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragworthinge {

class fiber_runtime;

/// The change of the fleet that a store entry describes.
struct decoded_entry {
    std::optional<fleet_change> change; ///< Absent for entries that do not concern the fleet.
    std::string problem;                ///< Why the entry could not be read; empty if it could.
};

/// A caller's query for the entry hosts to connect to.
struct lookup_query {
    region_id region;
    failure_domain_id failure_domain;
};

/// Name and current content of a settings file.
struct settings_text {
    std::string file;
    std::string text;
};

/// Adapts the product to one kind of deployment. The only implementation outside tests is in platform/.
class deployment_adapter {
public:
    deployment_adapter() = default;
    deployment_adapter(const deployment_adapter&) = delete;
    deployment_adapter& operator=(const deployment_adapter&) = delete;
    virtual ~deployment_adapter() = default;

    virtual result<settings_text> read_settings() const = 0;

    virtual const header_field_names& field_names() const = 0;

    virtual result<std::unique_ptr<platform_store>> connect_store(fiber_runtime& runtime,
                                                                  const gateway_settings& settings) const = 0;

    /// Key prefixes under which operators and upstreams write.
    virtual std::vector<std::string> watched_prefixes() const = 0;

    /// Decodes a store entry. Without a value, the entry was removed.
    virtual decoded_entry decode_entry(const std::string& key, const std::optional<std::string>& value) const = 0;

    /// Whether a request target is the readiness check.
    virtual bool is_readiness_target(std::string_view target) const = 0;

    /// Parses the target of a lookup; absent if the target is not a lookup.
    virtual std::optional<lookup_query> parse_lookup(std::string_view target) const = 0;

    /// Formats the body of the response to a lookup.
    virtual std::string format_lookup_answer(const std::vector<entry_host>& hosts,
                                             std::chrono::milliseconds lifetime) const = 0;
};

} // namespace ragworthinge
