#include "steering/fleet_report.h"

#include "membership/rendezvous_hash.h"

namespace ragworthinge {

upstream_number number_of(const upstream_id& upstream) noexcept {
    return static_cast<upstream_number>(rendezvous_score("upstream", upstream));
}

} // namespace ragworthinge
