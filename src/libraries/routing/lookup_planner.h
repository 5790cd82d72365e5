#pragma once

#include "base/identifiers.h"
#include "base/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

namespace ragworthinge {

struct lookup_planner_options {
    std::chrono::seconds ttl{5};
    /// Number of hosts in one answer. Three are enough to survive the loss of a failure domain and of one more host.
    std::size_t hosts_per_answer = 3;
    /// Maximum fraction of a site's clients that may change their region within one time to live.
    double max_step = 0.1;
};

/// Fraction of a site's clients that should use a region.
struct region_fraction {
    region_id region;
    double fraction = 0; ///< 0 to 1; the fractions of one site add up to 1.
};

/// Answer to a lookup.
struct lookup_answer {
    std::vector<host_id> hosts; ///< The dispatcher is first. Empty if no region has a live host.
    std::chrono::seconds ttl{5};
};

/// Plans the answers to lookups.
///
/// Clients cache an answer for its time to live (TTL), so the effect of a change is visible only after that time. Per
/// TTL the planner therefore moves at most `max_step` of a site's clients to another region, and replaces at most one
/// host of a service's answer. Hosts that leave or fail are removed from answers immediately.
class lookup_planner {
public:
    explicit lookup_planner(lookup_planner_options options = {});

    /// Replaces the live hosts of a region. Only live hosts appear in answers.
    void set_live_hosts(const region_id& region, std::vector<host_id> hosts);

    /// Sets which regions the clients of a site should use. The first call for a site takes effect immediately, later
    /// ones in steps. Regions without live hosts are skipped in answers.
    void set_target(std::string_view site, std::span<const region_fraction> region_fractions, time_point now);

    /// Moves each site and each answer at most one step towards its target. Call it at least once per time to live.
    void tick(time_point now);

    /// Returns the answer for a service and a client. A client gets the same region as long as the fractions are
    /// unchanged.
    lookup_answer answer(const service_id& service, std::string_view site, std::string_view client, time_point now);

    /// Returns the fraction of the site's clients that currently uses the region.
    double fraction_of(std::string_view site, const region_id& region) const;

private:
    using region_fractions = std::map<region_id, double>;

    struct site_state {
        region_fractions current;
        region_fractions target;
        time_point changed_at;
    };

    struct answer_state {
        std::vector<host_id> hosts;
        std::optional<time_point> changed_at;
    };

    std::optional<region_id> region_for(const site_state& state, std::string_view client) const;
    std::vector<host_id> desired_hosts(const service_id& service, const region_id& region) const;
    void update_answer(const service_id& service, const region_id& region, answer_state& state, time_point now) const;
    void step_towards_target(site_state& state, time_point now) const;
    bool has_live_hosts(const region_id& region) const;

    lookup_planner_options m_options;
    std::map<region_id, std::vector<host_id>> m_live_hosts;
    std::map<std::string, site_state, std::less<>> m_sites;
    std::map<std::pair<service_id, region_id>, answer_state> m_answers;
};

} // namespace ragworthinge
