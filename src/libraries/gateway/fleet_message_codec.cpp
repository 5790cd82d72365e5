#include "gateway/fleet_message_codec.h"

#include "requests/record_codec.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace ragworthinge {

namespace {

constexpr std::string_view record_version = "2";
constexpr std::string_view region_report_version = "3";
/// Demand is encoded in hundredths of a request per second.
constexpr double demand_scale = 100;
/// Fractions are encoded in ten-thousandths.
constexpr double fraction_scale = 10'000;
constexpr std::int64_t max_list_entries = 100'000;
/// Reporters list only live hosts, so a higher age means that the message is corrupt.
constexpr std::chrono::milliseconds max_age{60'000};

std::int64_t to_signed(std::uint64_t value) {
    return static_cast<std::int64_t>(value);
}

/// Reads the number of entries of a list and checks it against the limit.
result<std::int64_t> read_count(record_reader& reader) {
    BOOST_OUTCOME_TRY(const auto count, reader.read_number());
    if (count < 0 || count > max_list_entries)
        return failure(error_code::protocol_violation,
                       "peer message: invalid list length: " + std::to_string(count) + " entries");
    return count;
}

void write_demands(record_writer& writer, const std::vector<account_demand>& demands) {
    writer.add_number(to_signed(demands.size()));
    for (const account_demand& demand : demands)
        writer.add(demand.account).add_number(std::llround(demand.requests_per_second * demand_scale));
}

result<std::vector<account_demand>> read_demands(record_reader& reader) {
    std::vector<account_demand> demands;
    BOOST_OUTCOME_TRY(const auto count, read_count(reader));
    for (std::int64_t index = 0; index < count; ++index) {
        account_demand demand;
        BOOST_OUTCOME_TRY(demand.account, reader.read());
        BOOST_OUTCOME_TRY(const auto scaled, reader.read_number());
        demand.requests_per_second = static_cast<double>(scaled) / demand_scale;
        demands.push_back(std::move(demand));
    }
    return demands;
}

void write_crashes(record_writer& writer, const std::vector<crash_notice>& crashes) {
    writer.add_number(to_signed(crashes.size()));
    for (const crash_notice& notice : crashes)
        writer.add_number(to_signed(notice.fingerprint)).add_number(notice.upstream_crashes);
}

result<std::vector<crash_notice>> read_crashes(record_reader& reader) {
    std::vector<crash_notice> crashes;
    BOOST_OUTCOME_TRY(const auto count, read_count(reader));
    for (std::int64_t index = 0; index < count; ++index) {
        crash_notice notice;
        BOOST_OUTCOME_TRY(const auto fingerprint, reader.read_number());
        notice.fingerprint = static_cast<std::uint64_t>(fingerprint);
        BOOST_OUTCOME_TRY(const auto upstream_crashes, reader.read_number());
        notice.upstream_crashes = static_cast<std::uint32_t>(upstream_crashes);
        crashes.push_back(notice);
    }
    return crashes;
}

/// Writes the lists that host reports and region reports have in common.
template <typename Message>
void write_common_lists(record_writer& writer, const Message& message) {
    write_demands(writer, message.demands);
    writer.add_number(to_signed(message.loads.size()));
    for (const upstream_load& load : message.loads)
        writer.add(load.upstream).add_number(load.in_flight);
    writer.add_number(to_signed(message.new_objects.size()));
    for (const known_object& known : message.new_objects)
        writer.add(known.upstream).add_number(to_signed(known.object));
    write_crashes(writer, message.crashes);
}

template <typename Message>
result<void> read_common_lists(record_reader& reader, Message& message) {
    BOOST_OUTCOME_TRY(message.demands, read_demands(reader));
    BOOST_OUTCOME_TRY(const auto loads, read_count(reader));
    for (std::int64_t index = 0; index < loads; ++index) {
        upstream_load load;
        BOOST_OUTCOME_TRY(load.upstream, reader.read());
        BOOST_OUTCOME_TRY(const auto in_flight, reader.read_number());
        load.in_flight = static_cast<std::uint32_t>(in_flight);
        message.loads.push_back(std::move(load));
    }
    BOOST_OUTCOME_TRY(const auto objects, read_count(reader));
    for (std::int64_t index = 0; index < objects; ++index) {
        known_object known;
        BOOST_OUTCOME_TRY(known.upstream, reader.read());
        BOOST_OUTCOME_TRY(const auto object, reader.read_number());
        known.object = static_cast<std::uint64_t>(object);
        message.new_objects.push_back(std::move(known));
    }
    BOOST_OUTCOME_TRY(message.crashes, read_crashes(reader));
    return boost::outcome_v2::success();
}

/// Appends a number in fixed width, most significant byte first. Fixed width keeps region updates small, since most of
/// an update are lists of numbers.
template <typename Number>
void append_number(std::string& bytes, Number number) {
    for (int shift = static_cast<int>(sizeof(Number)) * 8 - 8; shift >= 0; shift -= 8)
        bytes.push_back(static_cast<char>((number >> shift) & 0xffU));
}

template <typename Number>
Number extract_number(std::string_view& bytes) {
    Number number = 0;
    for (std::size_t index = 0; index < sizeof(Number); ++index)
        number = static_cast<Number>((number << 8U) | static_cast<unsigned char>(bytes[index]));
    bytes.remove_prefix(sizeof(Number));
    return number;
}

/// Reads a field of packed entries and checks that its size is a multiple of the entry size.
result<std::string> read_packed(record_reader& reader, std::size_t entry_bytes) {
    BOOST_OUTCOME_TRY(std::string bytes, reader.read());
    if (bytes.size() % entry_bytes != 0)
        return failure(error_code::protocol_violation,
                       "region update: packed list of invalid size: " + std::to_string(bytes.size()) + " bytes");
    return bytes;
}

void write_names(record_writer& writer, const std::vector<host_id>& names) {
    writer.add_number(to_signed(names.size()));
    for (const host_id& name : names)
        writer.add(name);
}

result<std::vector<host_id>> read_names(record_reader& reader) {
    std::vector<host_id> names;
    BOOST_OUTCOME_TRY(const auto count, read_count(reader));
    for (std::int64_t index = 0; index < count; ++index) {
        BOOST_OUTCOME_TRY(host_id name, reader.read());
        names.push_back(std::move(name));
    }
    return names;
}

void write_changes(record_writer& writer, const std::optional<std::vector<store_change>>& changes) {
    writer.add_number(changes ? to_signed(changes->size()) : -1);
    if (!changes)
        return;
    for (const store_change& change : *changes) {
        writer.add(change.key);
        write_position(writer, change.position);
        writer.add_number(change.value ? 1 : 0);
        if (change.value)
            writer.add(*change.value);
    }
}

result<std::optional<std::vector<store_change>>> read_changes(record_reader& reader) {
    BOOST_OUTCOME_TRY(const auto count, reader.read_number());
    if (count < 0)
        return std::optional<std::vector<store_change>>();
    if (count > max_list_entries)
        return failure(error_code::protocol_violation,
                       "region update: invalid list length: " + std::to_string(count) + " changes");
    std::vector<store_change> changes;
    for (std::int64_t index = 0; index < count; ++index) {
        store_change change;
        BOOST_OUTCOME_TRY(change.key, reader.read());
        BOOST_OUTCOME_TRY(change.position, read_position(reader));
        BOOST_OUTCOME_TRY(const auto has_value, reader.read_number());
        if (has_value != 0) {
            BOOST_OUTCOME_TRY(change.value, reader.read());
        }
        changes.push_back(std::move(change));
    }
    return std::optional(std::move(changes));
}

} // namespace

void write_position(record_writer& writer, const store_position& position) {
    writer.add_number(number_of(position.era)).add_number(position.revision);
}

result<store_position> read_position(record_reader& reader) {
    BOOST_OUTCOME_TRY(const auto era, reader.read_number());
    BOOST_OUTCOME_TRY(const auto revision, reader.read_number());
    if (era < 0 || revision < 0)
        return failure(error_code::protocol_violation, "peer message: store position out of range");
    return store_position{.era = store_era{era}, .revision = revision};
}

std::string write_host_report(const host_report& report) {
    record_writer writer;
    writer.add(record_version).add(report.host).add_number(to_signed(report.incarnation));
    writer.add_number(report.is_leaving ? 1 : 0);
    write_position(writer, report.store_position);
    write_common_lists(writer, report);
    return writer.text();
}

result<host_report> read_host_report(std::string_view text) {
    record_reader reader(text);
    host_report report;
    BOOST_OUTCOME_TRYV(reader.expect(record_version));
    BOOST_OUTCOME_TRY(report.host, reader.read());
    BOOST_OUTCOME_TRY(const auto run, reader.read_number());
    report.incarnation = static_cast<incarnation>(run);
    BOOST_OUTCOME_TRY(const auto leaving, reader.read_number());
    report.is_leaving = leaving != 0;
    BOOST_OUTCOME_TRY(report.store_position, read_position(reader));
    BOOST_OUTCOME_TRYV(read_common_lists(reader, report));
    BOOST_OUTCOME_TRYV(reader.finish());
    return report;
}

std::string write_region_report(const region_report& regional_report) {
    record_writer writer;
    writer.add(region_report_version)
        .add(regional_report.region)
        .add(regional_report.reporter)
        .add_number(regional_report.is_complete ? 1 : 0);
    writer.add_number(to_signed(regional_report.hosts.size()));
    for (const relayed_host& host : regional_report.hosts) {
        writer.add(host.name).add_number(to_signed(host.incarnation)).add_number(host.is_leaving ? 1 : 0);
        write_position(writer, host.store_position);
        writer.add_number(host.age.count());
    }
    write_common_lists(writer, regional_report);
    return writer.text();
}

result<region_report> read_region_report(std::string_view text) {
    record_reader reader(text);
    region_report regional_report;
    BOOST_OUTCOME_TRYV(reader.expect(region_report_version));
    BOOST_OUTCOME_TRY(regional_report.region, reader.read());
    BOOST_OUTCOME_TRY(regional_report.reporter, reader.read());
    BOOST_OUTCOME_TRY(const auto complete, reader.read_number());
    regional_report.is_complete = complete != 0;
    BOOST_OUTCOME_TRY(const auto hosts, read_count(reader));
    for (std::int64_t index = 0; index < hosts; ++index) {
        relayed_host host;
        BOOST_OUTCOME_TRY(host.name, reader.read());
        BOOST_OUTCOME_TRY(const auto run, reader.read_number());
        host.incarnation = static_cast<incarnation>(run);
        BOOST_OUTCOME_TRY(const auto leaving, reader.read_number());
        host.is_leaving = leaving != 0;
        BOOST_OUTCOME_TRY(host.store_position, read_position(reader));
        BOOST_OUTCOME_TRY(const auto age, reader.read_number());
        // A negative age would make a host count as live for longer.
        if (age < 0 || age > max_age.count())
            return failure(error_code::protocol_violation,
                           "region report: host age out of range: " + std::to_string(age) + " ms");
        host.age = std::chrono::milliseconds(age);
        regional_report.hosts.push_back(std::move(host));
    }
    BOOST_OUTCOME_TRYV(read_common_lists(reader, regional_report));
    BOOST_OUTCOME_TRYV(reader.finish());
    return regional_report;
}

std::string write_region_update_request(const region_update_request& update_request) {
    record_writer writer;
    writer.add_number(to_signed(update_request.object_incarnation)).add_number(to_signed(update_request.next_object));
    writer.add(write_host_report(update_request.report));
    return writer.text();
}

result<region_update_request> read_region_update_request(std::string_view text) {
    record_reader reader(text);
    region_update_request update_request;
    BOOST_OUTCOME_TRY(const auto source, reader.read_number());
    update_request.object_incarnation = static_cast<incarnation>(source);
    BOOST_OUTCOME_TRY(const auto next, reader.read_number());
    update_request.next_object = static_cast<std::uint64_t>(next);
    BOOST_OUTCOME_TRY(const std::string report, reader.read());
    BOOST_OUTCOME_TRYV(reader.finish());
    BOOST_OUTCOME_TRY(update_request.report, read_host_report(report));
    return update_request;
}

std::string write_region_update(const region_update& update) {
    record_writer writer;
    writer.add(record_version).add(update.reporter).add_number(to_signed(update.reporter_incarnation));
    write_position(writer, update.store_position);
    writer.add_number(update.follows_store ? 1 : 0);
    writer.add_number(update.counts_requester ? 1 : 0);
    write_changes(writer, update.changes);
    write_names(writer, update.timed_out);
    write_names(writer, update.leaving);
    writer.add_number(to_signed(update.demands.size()));
    for (const auto& [account, view] : update.demands) {
        writer.add(account).add_number(std::llround(view.others * demand_scale));
        writer.add_number(std::llround(view.region_fraction * fraction_scale));
    }
    std::string loads;
    for (const auto& [upstream, in_flight] : update.loads) {
        append_number(loads, upstream);
        append_number(loads, static_cast<std::uint16_t>(std::min<std::uint32_t>(in_flight, UINT16_MAX)));
    }
    writer.add(loads).add_number(to_signed(update.next_object));
    std::string objects;
    for (const known_object_entry& known : update.new_objects) {
        append_number(objects, known.upstream);
        append_number(objects, known.object);
    }
    writer.add(objects);
    write_crashes(writer, update.crashes);
    return writer.text();
}

result<region_update> read_region_update(std::string_view text) {
    record_reader reader(text);
    region_update update;
    BOOST_OUTCOME_TRYV(reader.expect(record_version));
    BOOST_OUTCOME_TRY(update.reporter, reader.read());
    BOOST_OUTCOME_TRY(const auto run, reader.read_number());
    update.reporter_incarnation = static_cast<incarnation>(run);
    BOOST_OUTCOME_TRY(update.store_position, read_position(reader));
    BOOST_OUTCOME_TRY(const auto follows, reader.read_number());
    update.follows_store = follows != 0;
    BOOST_OUTCOME_TRY(const auto heard, reader.read_number());
    update.counts_requester = heard != 0;
    BOOST_OUTCOME_TRY(update.changes, read_changes(reader));
    BOOST_OUTCOME_TRY(update.timed_out, read_names(reader));
    BOOST_OUTCOME_TRY(update.leaving, read_names(reader));
    BOOST_OUTCOME_TRY(const auto views, read_count(reader));
    for (std::int64_t index = 0; index < views; ++index) {
        BOOST_OUTCOME_TRY(account_id account, reader.read());
        BOOST_OUTCOME_TRY(const auto others, reader.read_number());
        BOOST_OUTCOME_TRY(const auto part, reader.read_number());
        // A fraction above 1 would let the region exceed the account's rate.
        if (others < 0 || part < 0 || part > static_cast<std::int64_t>(fraction_scale))
            return failure(error_code::protocol_violation, "region update: account demand out of range");
        update.demands.emplace_back(std::move(account), demand_view{static_cast<double>(others) / demand_scale,
                                                                    static_cast<double>(part) / fraction_scale});
    }
    constexpr std::size_t load_bytes = sizeof(upstream_hash) + sizeof(std::uint16_t);
    BOOST_OUTCOME_TRY(const std::string loads, read_packed(reader, load_bytes));
    for (std::string_view rest = loads; !rest.empty();) {
        const auto upstream = extract_number<upstream_hash>(rest);
        update.loads.emplace_back(upstream, extract_number<std::uint16_t>(rest));
    }
    BOOST_OUTCOME_TRY(const auto next, reader.read_number());
    update.next_object = static_cast<std::uint64_t>(next);
    constexpr std::size_t object_bytes = sizeof(upstream_hash) + sizeof(std::uint64_t);
    BOOST_OUTCOME_TRY(const std::string objects, read_packed(reader, object_bytes));
    for (std::string_view rest = objects; !rest.empty();) {
        const auto upstream = extract_number<upstream_hash>(rest);
        update.new_objects.push_back({upstream, extract_number<std::uint64_t>(rest)});
    }
    BOOST_OUTCOME_TRY(update.crashes, read_crashes(reader));
    BOOST_OUTCOME_TRYV(reader.finish());
    return update;
}

std::string write_pool_grant(const pool_grant& granted) {
    record_writer writer;
    writer.add_number(granted.tokens);
    writer.add_number(std::chrono::duration_cast<std::chrono::milliseconds>(granted.next_token).count());
    return writer.text();
}

result<pool_grant> read_pool_grant(std::string_view text) {
    record_reader reader(text);
    pool_grant granted;
    BOOST_OUTCOME_TRY(const auto tokens, reader.read_number());
    BOOST_OUTCOME_TRY(const auto milliseconds, reader.read_number());
    BOOST_OUTCOME_TRYV(reader.finish());
    granted.tokens = static_cast<unsigned>(tokens);
    granted.next_token = std::chrono::milliseconds(milliseconds);
    return granted;
}

} // namespace ragworthinge
