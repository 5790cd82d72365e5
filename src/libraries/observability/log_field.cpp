#include "observability/log_field.h"

#include "base/encoding.h"

namespace ragworthinge {

void append_quoted(std::string& line, std::string_view text) {
    line += '"';
    for (const char letter : text) {
        const auto code = static_cast<unsigned char>(letter);
        if (letter == '"' || letter == '\\') {
            line += '\\';
            line += letter;
        } else if (letter == '\n') {
            line += "\\n";
        } else if (code < 0x20 || code >= 0x7f) {
            line += "\\x" + encode_hex({&letter, 1});
        } else {
            line += letter;
        }
    }
    line += '"';
}

} // namespace ragworthinge
