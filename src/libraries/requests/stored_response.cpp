#include "requests/stored_response.h"

#include "requests/header_filter.h"

namespace ragworthinge {

namespace {

std::size_t content_bytes(const http_fields& fields, std::string_view body) {
    std::size_t bytes = body.size();
    for (const http_field& field : fields.entries())
        bytes += field.name.size() + field.value.size();
    return bytes;
}

} // namespace

stored_response stored_response::from_response(const http_response_head& head, std::string_view body) {
    stored_response record{head.status, true, head.fields, std::string(body)};
    filter_response_fields(record.fields);
    // Content-Length is set again when the response is replayed.
    record.fields.remove("Content-Length");
    return content_bytes(record.fields, body) <= max_stored_response_bytes ? record : without_content(head.status);
}

stored_response stored_response::without_content(unsigned status) {
    return {status, false, {}, {}};
}

void stored_response::write(record_writer& writer) const {
    writer.add_number(status).add_number(kept ? 1 : 0);
    writer.add_number(static_cast<std::int64_t>(fields.entries().size()));
    for (const http_field& field : fields.entries())
        writer.add(field.name).add(field.value);
    writer.add(body);
}

result<stored_response> stored_response::read(record_reader& reader) {
    BOOST_OUTCOME_TRY(const std::int64_t status, reader.read_number());
    BOOST_OUTCOME_TRY(const std::int64_t kept, reader.read_number());
    BOOST_OUTCOME_TRY(const std::int64_t field_count, reader.read_number());
    if (status < 100 || status > 999 || (kept != 0 && kept != 1) || field_count < 0)
        return failure(error_code::protocol_violation, "stored answer: status, flag or field count out of range");

    stored_response record{static_cast<unsigned>(status), kept == 1, {}, {}};
    for (std::int64_t index = 0; index < field_count; ++index) {
        BOOST_OUTCOME_TRY(const std::string name, reader.read());
        BOOST_OUTCOME_TRY(const std::string value, reader.read());
        record.fields.add(name, value);
    }
    BOOST_OUTCOME_TRY(record.body, reader.read());
    if (!record.kept && (field_count != 0 || !record.body.empty()))
        return failure(error_code::protocol_violation, "stored answer: content although it was not kept");
    return record;
}

} // namespace ragworthinge
