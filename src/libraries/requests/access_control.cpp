#include "requests/access_control.h"

namespace ragworthinge {

admitted<access_grant> decide_access(const route_table& routes, const key_table& keys, freshness key_state,
                                     std::string_view path, const std::optional<secret_text>& key) {
    access_grant grant{routes.find(path), nullptr};
    if (grant.matched == nullptr)
        return refuse(refusal_kind::route_unknown, "no route matches the path");
    if (key && key_state != freshness::stale)
        grant.owner = keys.find(*key);
    if (grant.matched->open)
        return grant;

    if (!key)
        return refuse(refusal_kind::key_missing, "the route needs a key");
    if (key_state == freshness::stale)
        return refuse(refusal_kind::keys_stale, "this host cannot prove that its keys are current");
    if (grant.owner == nullptr)
        return refuse(refusal_kind::key_wrong, "the key is unknown or revoked");
    if (!grant.matched->allows(grant.owner->account))
        return refuse(refusal_kind::route_forbidden, "the route belongs to other client accounts");
    return grant;
}

} // namespace ragworthinge
