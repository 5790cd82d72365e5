#pragma once

#include "base/identifiers.h"
#include "base/result.h"
#include "escrow/ceiling_page.h"
#include "escrow/ledger.h"
#include "store/platform_store.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace ragworthinge {

/// A run of a host on the region's page.
struct region_member {
    holder_id holder;
    bool fenced = false;
    /// The process has ended, because a later run listens on the same addresses.
    bool ended = false;
    std::int64_t joined = 0; ///< Page revision that added the member.
};

/// Value of `region/<r>/members`.
struct region_members {
    std::int64_t revision = 0; ///< Counts the changes of the page.
    std::vector<region_member> members;

    const region_member* find(const holder_id& holder) const;
};

/// Value of `region/<r>/allocator`.
struct region_allocator {
    allocator_epoch epoch = 0;
    holder_id holder;
};

/// What the store holds below `region/<r>/`, as read by one call.
struct region_state {
    region_members page;
    region_allocator allocator;
    std::map<holder_id, std::int64_t> seen; ///< Page revision that each member acknowledged.
    std::int64_t members_mod_revision = 0;
    std::int64_t allocator_mod_revision = 0;
};

std::string region_prefix(const region_id& region);
std::string members_key(const region_id& region);
std::string allocator_key(const region_id& region);
std::string seen_key(const region_id& region, const host_id& host);

/// Store key of the page with the ceilings of all budgets.
inline constexpr std::string_view ceilings_key = "ceilings/0";

std::string encode(const region_members& page);
std::string encode(const region_allocator& allocator);
std::string encode_seen(const holder_id& holder, std::int64_t revision);
std::string encode(const ceiling_page& page);

/// The decoders fail with protocol_violation on garbage.
result<region_members> decode_region_members(std::string_view text);
result<region_state> decode_region_state(const region_id& region, const std::vector<store_entry>& entries);
result<ceiling_page> decode_ceiling_page(std::string_view text);

} // namespace ragworthinge
