#include "membership/region_page.h"

namespace ragworthinge {

const page_member* find_member(const region_page& page, const host_id& host, incarnation run) noexcept {
    for (const page_member& member : page.members) {
        if (member.host == host && member.incarnation == run)
            return &member;
    }
    return nullptr;
}

} // namespace ragworthinge
