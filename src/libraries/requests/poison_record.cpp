#include "requests/poison_record.h"

#include "requests/record_codec.h"

#include <algorithm>
#include <chrono>

namespace ragworthinge {

namespace {

/// Format version of the record; changes whenever the encoding changes.
constexpr std::string_view poison_format = "poison-1";

using std::chrono::milliseconds;

result<upstream_crash> read_crash(record_reader& reader) {
    upstream_crash crash;
    BOOST_OUTCOME_TRY(crash.id, reader.read());
    BOOST_OUTCOME_TRY(crash.upstream, reader.read());
    BOOST_OUTCOME_TRY(crash.failure_domain, reader.read());
    BOOST_OUTCOME_TRY(const std::int64_t at, reader.read_number());
    // Larger values would overflow in the conversion to the clock's unit.
    constexpr std::int64_t year_2200 = 7'258'118'400'000;
    if (at < 0 || at > year_2200)
        return failure(error_code::protocol_violation, "stored quarantine record: timestamp out of range");
    crash.at = wall_time(milliseconds(at));
    return crash;
}

} // namespace

std::vector<upstream_crash> poison_record::uncleared_crashes() const {
    std::vector<upstream_crash> open;
    for (const upstream_crash& crash : crashes) {
        if (!cleared.contains(crash.id))
            open.push_back(crash);
    }
    return open;
}

bool poison_record::merge(const poison_record& other) {
    bool changed = false;
    for (const upstream_crash& crash : other.crashes) {
        const auto has_same_id = [&](const upstream_crash& known) {
            return known.id == crash.id;
        };
        if (std::any_of(crashes.begin(), crashes.end(), has_same_id))
            continue;
        crashes.push_back(crash);
        changed = true;
    }
    for (const std::string& id : other.cleared)
        changed = cleared.insert(id).second || changed;
    return changed;
}

std::string poison_record::encode() const {
    record_writer writer;
    writer.add(poison_format).add(fingerprint).add(account).add(method).add(path);
    writer.add_number(static_cast<std::int64_t>(crashes.size()));
    for (const upstream_crash& crash : crashes) {
        const auto at = std::chrono::duration_cast<milliseconds>(crash.at.time_since_epoch());
        writer.add(crash.id).add(crash.upstream).add(crash.failure_domain).add_number(at.count());
    }
    writer.add_number(static_cast<std::int64_t>(cleared.size()));
    for (const std::string& id : cleared)
        writer.add(id);
    return writer.text();
}

result<poison_record> poison_record::decode(std::string_view text) {
    record_reader reader(text);
    poison_record record;
    BOOST_OUTCOME_TRY(reader.expect(poison_format));
    BOOST_OUTCOME_TRY(record.fingerprint, reader.read());
    BOOST_OUTCOME_TRY(record.account, reader.read());
    BOOST_OUTCOME_TRY(record.method, reader.read());
    BOOST_OUTCOME_TRY(record.path, reader.read());
    BOOST_OUTCOME_TRY(const std::int64_t crash_count, reader.read_number());
    for (std::int64_t index = 0; index < crash_count; ++index) {
        BOOST_OUTCOME_TRY(upstream_crash crash, read_crash(reader));
        record.crashes.push_back(std::move(crash));
    }
    BOOST_OUTCOME_TRY(const std::int64_t cleared_count, reader.read_number());
    for (std::int64_t index = 0; index < cleared_count; ++index) {
        BOOST_OUTCOME_TRY(std::string id, reader.read());
        record.cleared.insert(std::move(id));
    }
    BOOST_OUTCOME_TRY(reader.finish());
    if (crash_count < 0 || cleared_count < 0)
        return failure(error_code::protocol_violation, "stored quarantine record: negative count");
    return record;
}

} // namespace ragworthinge
