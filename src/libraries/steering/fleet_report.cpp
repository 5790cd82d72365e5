#include "steering/fleet_report.h"

#include "membership/rendezvous_hash.h"

namespace ragworthinge {

upstream_hash hash_of(const upstream_id& upstream) noexcept {
    return static_cast<upstream_hash>(rendezvous_score("upstream", upstream));
}

} // namespace ragworthinge
