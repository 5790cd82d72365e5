#include "requests/json_text.h"

#include "base/encoding.h"

namespace ragworthinge {

std::string quote_json(std::string_view text) {
    std::string quoted = "\"";
    for (const char byte : text) {
        const auto value = static_cast<unsigned char>(byte);
        if (byte == '"' || byte == '\\') {
            quoted.push_back('\\');
            quoted.push_back(byte);
        } else if (value < 0x20 || value >= 0x7f) {
            quoted += "\\u00" + encode_hex({&byte, 1});
        } else {
            quoted.push_back(byte);
        }
    }
    quoted.push_back('"');
    return quoted;
}

} // namespace ragworthinge
