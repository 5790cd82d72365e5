#include "observability/event_log.h"

#include "base/digest.h"
#include "requests/secret_text.h"

#include <catch2/catch.hpp>

#include <iostream>
#include <optional>
#include <sstream>

using namespace ragworthinge;

// Guards against secrets in log lines: secrets and digests must not compile as log values.
static_assert(loggable<std::string> && loggable<int> && loggable<const char*> && loggable<std::chrono::milliseconds>);
static_assert(!loggable<secret_text> && !loggable<digest> && !loggable<std::optional<secret_text>>);

namespace {

/// Captures `std::cout` during its lifetime.
class captured_output {
public:
    captured_output() : m_previous(std::cout.rdbuf(m_text.rdbuf())) {}
    captured_output(const captured_output&) = delete;
    captured_output& operator=(const captured_output&) = delete;
    ~captured_output() { std::cout.rdbuf(m_previous); }

    std::string text() const { return m_text.str(); }

private:
    std::ostringstream m_text;
    std::streambuf* m_previous;
};

} // namespace

// Guards against values that inject fields or lines.
TEST_CASE("an event is one line of pairs with quoted and escaped values") {
    captured_output output;
    event_log log("north1", log_level::info);
    log.write(log_level::warn, "request_refused", field("account", std::string("a\" level=\"x\n\\\x01\xff")),
              field("status", 429), field("waited", std::chrono::milliseconds(1500)), field("open", false));
    const std::string line = output.text();
    CHECK(line.starts_with("time=20"));
    CHECK(line.substr(line.find(" level=")) ==
          " level=\"warn\" event=\"request_refused\" host=\"north1\" account=\"a\\\" level=\\\"x\\n\\\\\\x01\\xff\""
          " status=\"429\" waited=\"1.500000s\" open=\"false\"\n");
}

// Guards against a level change that requires a restart.
TEST_CASE("the log level can be changed at run time") {
    captured_output output;
    event_log log("north1", log_level::info);
    log.write(log_level::debug, "first");
    log.set_level(parse_log_level("debug").value());
    log.write(log_level::debug, "second");
    log.set_level(log_level::off);
    log.write(log_level::error, "third");
    CHECK(output.text().find("first") == std::string::npos);
    CHECK(output.text().find("second") != std::string::npos);
    CHECK(output.text().find("third") == std::string::npos);
    CHECK_FALSE(parse_log_level("verbose").has_value());
}
