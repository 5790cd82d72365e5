#include "gateway/host_record.h"

#include "requests/record_codec.h"

#include <cmath>

namespace ragworthinge {

namespace {

constexpr std::string_view record_prefix = "ragworthinge/hosts/";
constexpr std::string_view record_version = "2";
/// Capacity is stored in thousandths of a processor core.
constexpr double capacity_scale = 1000;
/// Names of the optional properties, which follow the required fields as pairs of name and number.
constexpr std::string_view link_property = "link_kbps";
constexpr std::string_view memory_property = "memory_mb";
constexpr std::string_view descriptors_property = "descriptors";
constexpr double kilobits_per_megabit = 1000;

result<void> read_property(record_reader& reader, entry_host& host) {
    BOOST_OUTCOME_TRY(const std::string name, reader.read());
    if (name != link_property && name != memory_property && name != descriptors_property) {
        BOOST_OUTCOME_TRYV(reader.read());
        return boost::outcome_v2::success();
    }
    BOOST_OUTCOME_TRY(const std::int64_t number, reader.read_number());
    if (number <= 0)
        return failure(error_code::protocol_violation, "host record: " + name + " must be above 0");
    if (name == link_property)
        host.link_mbps = static_cast<double>(number) / kilobits_per_megabit;
    else
        (name == memory_property ? host.memory_mb : host.descriptors) = number;
    return boost::outcome_v2::success();
}

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
    if (host.link_mbps)
        writer.add(link_property).add_number(std::llround(*host.link_mbps * kilobits_per_megabit));
    if (host.memory_mb)
        writer.add(memory_property).add_number(*host.memory_mb);
    if (host.descriptors)
        writer.add(descriptors_property).add_number(*host.descriptors);
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
    while (!reader.finish()) {
        BOOST_OUTCOME_TRYV(read_property(reader, host));
    }
    return host;
}

} // namespace ragworthinge
