#include "store/fake_store.h"

#include <catch2/catch.hpp>

using namespace ragworthinge;

namespace {

result<bool> write_next(fake_store& store, const std::string& value) {
    BOOST_OUTCOME_TRY(const auto present, store.get("pointer"));
    const std::int64_t revision = present ? present->mod_revision : 0;
    const store_operation put{store_operation::kind::put, "pointer", value, 0};
    BOOST_OUTCOME_TRY(const auto outcome,
                      store.commit({.compares = {{"pointer", revision}}, .success = {put}, .failure = {}}));
    return outcome.succeeded;
}

} // namespace

// Guards against a fake that cannot reproduce a lost update: a second operator writes between read and commit.
TEST_CASE("a hook can write between the read and the commit of an operator") {
    fake_store store;
    store.after_call = [&](std::string_view call) {
        if (call == "get")
            CHECK(write_next(store, "second").value());
    };
    CHECK_FALSE(write_next(store, "first").value());
    CHECK(store.value("pointer") == "second");
}

// Guards against injected faults whose effect or error differs from that of the real client.
TEST_CASE("each fault has its documented effect and error") {
    fake_store store;
    store.faults.lose_replies = 1;
    CHECK(write_next(store, "applied").error().code == error_code::outcome_unknown);
    CHECK(store.value("pointer") == "applied");
    store.faults.lose_requests = 1;
    CHECK(write_next(store, "lost").error().code == error_code::outcome_unknown);
    CHECK(store.value("pointer") == "applied");
    store.freeze_reads();
    store.put("pointer", "newer");
    CHECK(store.get("pointer").value()->value == "applied");
    CHECK_FALSE(write_next(store, "based on an old read").value());
    store.thaw_reads();
    store.faults.down = true;
    CHECK(store.get("pointer").error().code == error_code::unavailable);
    CHECK(write_next(store, "x").error().code == error_code::unavailable);
}

// Guards against a watch that misses changes made during delivery, and against one that ignores compaction.
TEST_CASE("a watch delivers all changes after a position or fails if they were compacted") {
    fake_store store;
    const store_position start = store.position();
    store.put("w/a", "1");
    store.put("x", "outside");
    std::vector<std::optional<std::string>> seen;
    const auto ended = store.watch_prefix("w/", start, [&](const std::vector<store_event>& events) {
        for (const store_event& event : events)
            seen.push_back(event.value);
        if (seen.size() == 1)
            store.remove("w/a");
        return true;
    });
    CHECK(seen == std::vector<std::optional<std::string>>{"1", std::nullopt});
    CHECK(ended.value() == store.position());
    store.put("w/a", "2");
    store.compact();
    const auto compacted = store.watch_prefix("w/", start, [](const auto&) { return true; });
    CHECK(compacted.error().code == error_code::not_found);
    CHECK(store.watch_prefix("w/", store.position(), [](const auto&) { return true; }));
}
