#include "requests/claim_record.h"

#include "base/digest.h"
#include "requests/record_codec.h"

#include <chrono>

namespace ragworthinge {

namespace {

/// Format version of the record; changes whenever the encoding changes.
constexpr std::string_view claim_format = "claim-1";

using std::chrono::milliseconds;

std::int64_t to_milliseconds(wall_time time) {
    return std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
}

result<wall_time> read_time(record_reader& reader) {
    BOOST_OUTCOME_TRY(const std::int64_t count, reader.read_number());
    // Larger values would overflow in the conversion to the clock's unit.
    constexpr std::int64_t year_2200 = 7'258'118'400'000;
    if (count < 0 || count > year_2200)
        return failure(error_code::protocol_violation, "stored claim: time out of range");
    return wall_time(milliseconds(count));
}

} // namespace

std::string claim_record::encode() const {
    record_writer writer;
    writer.add(claim_format).add(fingerprint).add(tag).add(host);
    writer.add_number(static_cast<std::int64_t>(state));
    writer.add_number(to_milliseconds(claimed_at)).add_number(to_milliseconds(abandoned_at));
    if (response)
        response->write(writer);
    return writer.text();
}

result<claim_record> claim_record::decode(std::string_view text) {
    record_reader reader(text);
    claim_record record;
    BOOST_OUTCOME_TRY(reader.expect(claim_format));
    BOOST_OUTCOME_TRY(record.fingerprint, reader.read());
    BOOST_OUTCOME_TRY(record.tag, reader.read());
    BOOST_OUTCOME_TRY(record.host, reader.read());
    BOOST_OUTCOME_TRY(const std::int64_t state, reader.read_number());
    if (state < 0 || state > static_cast<std::int64_t>(claim_state::unknown))
        return failure(error_code::protocol_violation, "stored claim: state out of range");
    record.state = static_cast<claim_state>(state);
    BOOST_OUTCOME_TRY(record.claimed_at, read_time(reader));
    BOOST_OUTCOME_TRY(record.abandoned_at, read_time(reader));
    if (record.state == claim_state::completed) {
        BOOST_OUTCOME_TRY(stored_response response, stored_response::read(reader));
        record.response = std::move(response);
    }
    BOOST_OUTCOME_TRY(reader.finish());
    return record;
}

std::string claim_store_key(const account_id& account, std::string_view idempotency_key) {
    return "claims/" + account + "/" + to_hex(sha256(idempotency_key));
}

} // namespace ragworthinge
