#include "requests/claim_record.h"

#include "base/digest.h"

#include <catch2/catch.hpp>

#include <random>

using namespace ragworthinge;
using namespace std::chrono_literals;

namespace {

claim_record completed_record(const std::string& body) {
    http_response_head head;
    head.status = 200;
    head.fields.add("Content-Type", "text/plain");
    head.fields.add("Content-Length", std::to_string(body.size()));
    head.fields.add("X-Ragworthinge-Outcome", "not-run");
    head.fields.add("Connection", "close");
    const wall_time time(1'700'000'000s);
    return {to_hex(sha256("x")),
            "host/1/2",
            "host",
            claim_state::completed,
            time,
            time + 15s,
            stored_response::from_response(head, body)};
}

} // namespace

// Guards against a replayed response that differs from the original, and against storing hop-by-hop fields.
TEST_CASE("decoding restores the encoded record for any response bytes") {
    std::string body;
    for (int byte = 0; byte < 256; ++byte)
        body += static_cast<char>(byte);
    const claim_record record = completed_record(body + ":,12:" + body);
    const auto read = claim_record::decode(record.encode());
    REQUIRE(read.has_value());
    CHECK(read.value().encode() == record.encode());
    CHECK(read.value().response->body == record.response->body);
    REQUIRE(read.value().response->fields.entries().size() == 1);
    CHECK(read.value().response->fields.find("Content-Type") == "text/plain");
    CHECK(read.value().abandoned_at - read.value().claimed_at == 15s);
}

// Guards against filling the store with large responses and against replaying a truncated response as complete.
TEST_CASE("a response above 16 KB is stored as completed without content") {
    CHECK(completed_record(std::string(16000, 'x')).response->kept);
    const claim_record record = completed_record(std::string(16 * 1024, 'x'));
    CHECK_FALSE(record.response->kept);
    CHECK(record.response->body.empty());
    CHECK(record.encode().size() < 300);
    REQUIRE(claim_record::decode(record.encode()).has_value());
}

// Guards against accepting a malformed record as a claim: any accepted text must equal its own re-encoding.
TEST_CASE("a malformed record is an error that names the byte position") {
    const std::string text = completed_record("booked").encode();
    for (std::size_t length = 0; length < text.size(); ++length)
        REQUIRE_FALSE(claim_record::decode(text.substr(0, length)).has_value());
    REQUIRE_FALSE(claim_record::decode(text + "0:,").has_value());

    std::mt19937 random(7);
    for (int round = 0; round < 20000; ++round) {
        std::string changed = text;
        changed[random() % changed.size()] = static_cast<char>(random() % 256);
        const auto read = claim_record::decode(changed);
        if (read)
            REQUIRE(read.value().encode() == changed);
        else
            REQUIRE(read.error().code == error_code::protocol_violation);
    }
    CHECK(claim_record::decode("garbage").error().message == "stored record, byte 0: no field length");
}

// Guards against an account whose name makes its claims collide with those of another account.
TEST_CASE("store keys of different accounts never collide") {
    CHECK(claim_store_key("a", "x") != claim_store_key("b", "x"));
    CHECK(claim_store_key("a/b", "x") != claim_store_key("a", "b/x"));
    CHECK(claim_store_key("a", "x") == "claims/a/" + to_hex(sha256("x")));
}
