#pragma once

#include "base/digest.h"
#include "base/identifiers.h"

#include <string>
#include <string_view>

namespace ragworthinge {

/// Fingerprint that is equal for identical requests of a client account: hexadecimal SHA-256 of account, method, target
/// and body digest. `target` is the forwarded target, which contains no key.
std::string request_fingerprint(const account_id& account, std::string_view method, std::string_view target,
                                const digest& body);

} // namespace ragworthinge
