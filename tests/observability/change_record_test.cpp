#include "observability/change_record.h"

#include <catch2/catch.hpp>

using namespace ragworthinge;

// Guards against audit records that cannot be parsed, and against accepting truncated ones.
TEST_CASE("an audit record survives a round trip, and a truncated one is an error") {
    const change_record record{"ops \"a\"", wall_time(std::chrono::milliseconds(1'700'000'000'123)), 7, 9, "more\nrate",
                               "- 1\n+ 2"};
    const std::string text = record.to_json();
    const auto read = change_record::from_json(text);
    REQUIRE(read.has_value());
    CHECK(read.value().to_json() == text);
    CHECK(read.value().who == "ops \"a\"");
    CHECK(read.value().at == record.at);
    CHECK(read.value().base_revision == 7);
    CHECK(read.value().new_revision == 9);
    CHECK(read.value().difference == "- 1\n+ 2");
    for (std::size_t length = 0; length < text.size(); ++length)
        REQUIRE_FALSE(change_record::from_json(text.substr(0, length)).has_value());
    CHECK(change_record::from_json("{\"who\":1}").error().message == "audit record: no text in field \"who\"");
    CHECK(change_store_key(9) == "audit/9");
}
