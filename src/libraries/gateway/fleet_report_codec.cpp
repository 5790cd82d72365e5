#include "gateway/fleet_report_codec.h"

#include "requests/record_codec.h"

#include <cmath>

namespace ragworthinge {

namespace {

constexpr std::string_view record_version = "1";
/// Demand is sent in hundredths of a request per second.
constexpr double demand_scale = 100;
constexpr std::int64_t entry_limit = 100'000;
/// Reporters list only hosts that they hear, so an age beyond this is damaged.
constexpr std::chrono::milliseconds longest_age{60'000};

std::int64_t to_signed(std::uint64_t value) {
    return static_cast<std::int64_t>(value);
}

/// Reads the number of entries of a list.
result<std::int64_t> read_count(record_reader& reader) {
    BOOST_OUTCOME_TRY(const auto count, reader.read_number());
    if (count < 0 || count > entry_limit)
        return failure(error_code::protocol_violation, "fleet report: list of " + std::to_string(count) + " entries");
    return count;
}

/// The lists that reports and digests have in common.
template <typename Message>
void write_lists(record_writer& writer, const Message& message) {
    writer.add_number(to_signed(message.demands.size()));
    for (const account_demand& demand : message.demands)
        writer.add(demand.account).add_number(std::llround(demand.requests_per_second * demand_scale));
    writer.add_number(to_signed(message.loads.size()));
    for (const upstream_load& load : message.loads)
        writer.add(load.upstream).add_number(load.in_flight);
    writer.add_number(to_signed(message.new_objects.size()));
    for (const known_object& known : message.new_objects)
        writer.add(known.upstream).add_number(to_signed(known.object));
    writer.add_number(to_signed(message.crashes.size()));
    for (const crash_notice& notice : message.crashes)
        writer.add_number(to_signed(notice.fingerprint)).add_number(notice.deaths);
}

template <typename Message>
result<void> read_lists(record_reader& reader, Message& message) {
    BOOST_OUTCOME_TRY(const auto demands, read_count(reader));
    for (std::int64_t index = 0; index < demands; ++index) {
        account_demand demand;
        BOOST_OUTCOME_TRY(demand.account, reader.read());
        BOOST_OUTCOME_TRY(const auto scaled, reader.read_number());
        demand.requests_per_second = static_cast<double>(scaled) / demand_scale;
        message.demands.push_back(std::move(demand));
    }
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
    BOOST_OUTCOME_TRY(const auto crashes, read_count(reader));
    for (std::int64_t index = 0; index < crashes; ++index) {
        crash_notice notice;
        BOOST_OUTCOME_TRY(const auto fingerprint, reader.read_number());
        notice.fingerprint = static_cast<std::uint64_t>(fingerprint);
        BOOST_OUTCOME_TRY(const auto deaths, reader.read_number());
        notice.deaths = static_cast<std::uint32_t>(deaths);
        message.crashes.push_back(notice);
    }
    return boost::outcome_v2::success();
}

} // namespace

std::string write_fleet_report(const fleet_report& report) {
    record_writer writer;
    writer.add(record_version).add(report.host).add_number(to_signed(report.incarnation));
    writer.add_number(report.is_leaving ? 1 : 0).add_number(report.store_revision);
    write_lists(writer, report);
    return writer.text();
}

result<fleet_report> read_fleet_report(std::string_view text) {
    record_reader reader(text);
    fleet_report report;
    BOOST_OUTCOME_TRYV(reader.expect(record_version));
    BOOST_OUTCOME_TRY(report.host, reader.read());
    BOOST_OUTCOME_TRY(const auto run, reader.read_number());
    report.incarnation = static_cast<incarnation>(run);
    BOOST_OUTCOME_TRY(const auto leaving, reader.read_number());
    report.is_leaving = leaving != 0;
    BOOST_OUTCOME_TRY(report.store_revision, reader.read_number());
    BOOST_OUTCOME_TRYV(read_lists(reader, report));
    BOOST_OUTCOME_TRYV(reader.finish());
    return report;
}

std::string write_region_digest(const region_digest& digest) {
    record_writer writer;
    writer.add(record_version).add(digest.region);
    writer.add_number(to_signed(digest.hosts.size()));
    for (const relayed_host& host : digest.hosts) {
        writer.add(host.name).add_number(to_signed(host.incarnation)).add_number(host.is_leaving ? 1 : 0);
        writer.add_number(host.store_revision).add_number(host.age.count());
    }
    write_lists(writer, digest);
    return writer.text();
}

result<region_digest> read_region_digest(std::string_view text) {
    record_reader reader(text);
    region_digest digest;
    BOOST_OUTCOME_TRYV(reader.expect(record_version));
    BOOST_OUTCOME_TRY(digest.region, reader.read());
    BOOST_OUTCOME_TRY(const auto hosts, read_count(reader));
    for (std::int64_t index = 0; index < hosts; ++index) {
        relayed_host host;
        BOOST_OUTCOME_TRY(host.name, reader.read());
        BOOST_OUTCOME_TRY(const auto run, reader.read_number());
        host.incarnation = static_cast<incarnation>(run);
        BOOST_OUTCOME_TRY(const auto leaving, reader.read_number());
        host.is_leaving = leaving != 0;
        BOOST_OUTCOME_TRY(host.store_revision, reader.read_number());
        BOOST_OUTCOME_TRY(const auto age, reader.read_number());
        // A negative age would make a host look alive for longer.
        if (age < 0 || age > longest_age.count())
            return failure(error_code::protocol_violation, "region digest: age of " + std::to_string(age) + " ms");
        host.age = std::chrono::milliseconds(age);
        digest.hosts.push_back(std::move(host));
    }
    BOOST_OUTCOME_TRYV(read_lists(reader, digest));
    BOOST_OUTCOME_TRYV(reader.finish());
    return digest;
}

std::string write_pool_answer(const pool_answer& answer) {
    record_writer writer;
    writer.add_number(answer.tokens);
    writer.add_number(std::chrono::duration_cast<std::chrono::milliseconds>(answer.next_token).count());
    return writer.text();
}

result<pool_answer> read_pool_answer(std::string_view text) {
    record_reader reader(text);
    pool_answer answer;
    BOOST_OUTCOME_TRY(const auto tokens, reader.read_number());
    BOOST_OUTCOME_TRY(const auto milliseconds, reader.read_number());
    BOOST_OUTCOME_TRYV(reader.finish());
    answer.tokens = static_cast<unsigned>(tokens);
    answer.next_token = std::chrono::milliseconds(milliseconds);
    return answer;
}

} // namespace ragworthinge
