#include "fuzz_check.h"

#include "entry_decoder.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

using namespace ragworthinge;

/// Guards against a crash or a useless upstream from bytes that anybody may write into the registry.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const auto read = decode_upstream("i-1", {reinterpret_cast<const char*>(data), size});
    if (!read)
        return 0;
    fuzz_check(read.value().slots >= 1, "an upstream without slots");
    fuzz_check(read.value().sequence >= 0, "a negative number of the announcement");
    fuzz_check(read.value().cold_remaining.count() >= 0, "a negative time");
    fuzz_check(read.value().address.find(':') != std::string::npos, "an address without a port");
    return 0;
}
