#pragma once

#include "base/identifiers.h"
#include "base/time.h"
#include "host/share_service.h"

#include <cstdint>
#include <map>

namespace ragworthinge {

/// Connects the slots that a dispatcher occupies with the shares that this host holds of the upstreams' slots.
class slot_shares {
public:
    explicit slot_shares(share_service& shares) : m_shares(shares) {}

    /// Slots of the upstream that this host may have occupied now, those in use included.
    std::uint32_t usable(const upstream_id& upstream, time_point now);

    /// Tells the share how many slots are occupied. Call after every change, before another fiber runs.
    void set_in_use(const upstream_id& upstream, std::uint32_t count, time_point now);

    /// Asks the allocator for this many slots.
    void set_wanted(const upstream_id& upstream, std::uint32_t count);

private:
    struct entry {
        budget_index budget = 0;
        std::uint32_t in_use = 0;
        std::uint32_t unlicensed = 0; ///< Occupied before this host joined again; not part of the present share.
    };

    entry& find(const upstream_id& upstream);
    void start_generation_if_new();

    share_service& m_shares;
    std::map<upstream_id, entry> m_entries;
    std::uint64_t m_generation = 0;
};

} // namespace ragworthinge
