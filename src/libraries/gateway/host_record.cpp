#include "gateway/host_record.h"

#include "requests/record_codec.h"

#include <cmath>

namespace ragworthinge {

namespace {

constexpr std::string_view record_prefix = "ragworthinge/hosts/";
constexpr std::string_view record_version = "2";
/// Capacity is stored in thousandths of a processor core.
constexpr double capacity_scale = 1000;

} // namespace

std::string host_record_key(const host_id& host) {
    return std::string(record_prefix) + host;
}

std::optional<host_id> host_of_record_key(std::string_view key) {
    if (!key.starts_with(record_prefix))
        return std::nullopt;
    return host_id(key.substr(record_prefix.size()));
}

std::string write_host_record(const entry_host& host) {
    record_writer writer;
    writer.add(record_version).add(host.name).add_number(static_cast<std::int64_t>(host.incarnation));
    writer.add(host.region).add(host.failure_domain).add(host.caller_address).add(host.peer_address);
    writer.add_number(std::llround(host.capacity * capacity_scale));
    return writer.text();
}

result<entry_host> read_host_record(std::string_view text) {
    record_reader reader(text);
    entry_host host;
    BOOST_OUTCOME_TRYV(reader.expect(record_version));
    BOOST_OUTCOME_TRY(host.name, reader.read());
    BOOST_OUTCOME_TRY(const auto run, reader.read_number());
    host.incarnation = static_cast<incarnation>(run);
    BOOST_OUTCOME_TRY(host.region, reader.read());
    BOOST_OUTCOME_TRY(host.failure_domain, reader.read());
    BOOST_OUTCOME_TRY(host.caller_address, reader.read());
    BOOST_OUTCOME_TRY(host.peer_address, reader.read());
    BOOST_OUTCOME_TRY(const auto capacity, reader.read_number());
    host.capacity = static_cast<double>(capacity) / capacity_scale;
    BOOST_OUTCOME_TRYV(reader.finish());
    return host;
}

} // namespace ragworthinge
