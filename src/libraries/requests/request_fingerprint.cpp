#include "requests/request_fingerprint.h"

#include "requests/record_codec.h"

namespace ragworthinge {

std::string request_fingerprint(const account_id& account, std::string_view method, std::string_view target,
                                const digest& body) {
    const std::string_view body_bytes{reinterpret_cast<const char*>(body.data()), body.size()};
    record_writer writer;
    writer.add(account).add(method).add(target).add(body_bytes);
    return to_hex(sha256(writer.text()));
}

} // namespace ragworthinge
