#include "host/active_requests.h"

#include "requests/key_table.h"

namespace ragworthinge {

std::size_t active_requests::cut_revoked(const key_table& keys) {
    std::size_t ended = 0;
    for (const entry& request : m_entries) {
        if (!request.key_digest)
            continue;
        const key_owner* owner = keys.find(*request.key_digest);
        if (owner != nullptr && owner->account == request.account)
            continue;
        request.cut();
        ++ended;
    }
    return ended;
}

std::size_t active_requests::cut_keyed() {
    std::size_t ended = 0;
    for (const entry& request : m_entries) {
        if (!request.key_digest)
            continue;
        request.cut();
        ++ended;
    }
    return ended;
}

} // namespace ragworthinge
