#include "fuzz_check.h"

#include "gateway/upstream_signals.h"

#include <cstddef>
#include <cstdint>
#include <string>

using namespace ragworthinge;

/// Guards against a time that excludes an upstream for good, or overflows in sums, from whatever an upstream sends.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string value(reinterpret_cast<const char*>(data), size);
    http_response_head head{.status = 503, .fields = {}, .content_length = {}};
    head.fields.add("Retry-After", value);
    head.fields.add("Leaving", value);
    header_field_names names;
    names.leaving = "Leaving";
    const upstream_signals signals = read_upstream_signals(head, names);
    fuzz_check(signals.is_leaving == (value == "1"), "leaving without the value 1");
    fuzz_check(signals.quiet_time.has_value() == signals.problem.empty(), "neither a time nor a problem");
    fuzz_check(!signals.quiet_time || *signals.quiet_time >= duration::zero(), "a negative time");
    fuzz_check(!signals.quiet_time || *signals.quiet_time <= std::chrono::hours(24 * 365), "an unbounded time");
    return 0;
}
