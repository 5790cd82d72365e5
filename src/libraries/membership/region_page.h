#pragma once

#include "base/identifiers.h"

#include <cstdint>
#include <vector>

namespace ragworthinge {

/// State of a member on the region's page in the store.
enum class page_member_state {
    active, ///< May spend shares while its lease holds.
    fenced  ///< Must not spend; its shares are being reclaimed or already were.
};

/// One run of a host's process as recorded on the region's page.
struct page_member {
    host_id host;
    ragworthinge::incarnation incarnation = 0;
    page_member_state state = page_member_state::active;
};

/// Content of `region/<r>/members`. Changed only by compare-and-swap; the only source of fences.
struct region_page {
    region_id region;
    std::int64_t revision = 0; ///< Store revision of the page; a lower one never replaces a higher one.
    std::vector<page_member> members;
};

/// The entry of one run of a host, or nullptr when the page does not name it.
const page_member* find_member(const region_page& page, const host_id& host, incarnation run) noexcept;

} // namespace ragworthinge
