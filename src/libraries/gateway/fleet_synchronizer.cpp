#include "gateway/fleet_synchronizer.h"

#include "base/boot_clock.h"
#include "gateway/fleet_message_codec.h"
#include "gateway/host_record.h"
#include "net/fiber_runtime.h"
#include "requests/record_codec.h"

#include <algorithm>
#include <utility>

namespace ragworthinge {

namespace {

constexpr std::string_view snapshot_version = "2";

std::string_view to_string(change_effect effect) {
    switch (effect) {
    case change_effect::applied:
        return "applied";
    case change_effect::unchanged:
        return "unchanged";
    case change_effect::outdated:
        return "outdated";
    }
    return "";
}

std::size_t size_of_change(const store_change& change) {
    return change.key.size() + (change.value ? change.value->size() : 0);
}

/// Describes a change for the log.
struct change_description {
    std::string operator()(const upstream_announced& change) const {
        const upstream_description& description = change.description;
        return "upstream " + description.id + " of " + description.service +
               (description.is_draining ? " drains" : " is ready") + " at " + description.address + " in " +
               description.failure_domain + ", announcement " + std::to_string(description.sequence) +
               " since its start at " + std::to_string(description.started_at);
    }
    std::string operator()(const upstream_withdrawn& change) const { return "upstream " + change.id + " is gone"; }
    std::string operator()(const host_announced& change) const {
        return "host " + change.host.name + " at " + change.host.caller_address;
    }
    std::string operator()(const host_withdrawn& change) const { return "host " + change.name + " is gone"; }
    std::string operator()(const evacuation_changed& change) const {
        return change.failure_domain + (change.is_evacuated ? " is evacuated" : " is taken back");
    }
    std::string operator()(const configuration_submitted& change) const {
        return "configuration " + std::to_string(change.configuration.version);
    }
};

} // namespace

fleet_synchronizer::fleet_synchronizer(fiber_runtime& runtime, platform_store& store, const deployment_adapter& adapter,
                                       fleet_state& fleet, fleet_membership& membership, event_log& log,
                                       fleet_synchronizer_options options)
    : m_runtime(runtime), m_store(store), m_adapter(adapter), m_fleet(fleet), m_membership(membership), m_log(log),
      m_options(options), m_contact_at(boot_time_now()) {}

void fleet_synchronizer::start() {
    m_runtime.spawn([this] { run_synchronization(); });
}

duration fleet_synchronizer::time_to_next_poll(time_point now) const {
    if (!m_is_synchronized || !m_region_update_at || (m_is_reporter && m_is_reporter()))
        return duration::zero();
    return *m_region_update_at + m_options.max_region_update_age - now;
}

bool fleet_synchronizer::follows_store(time_point now) const {
    const bool is_silent = m_poll_started_at && now - *m_poll_started_at > m_options.unanswered_poll_limit;
    return m_is_synchronized && m_has_contact && !is_silent;
}

void fleet_synchronizer::run_synchronization() {
    for (;;) {
        if (const duration rest = time_to_next_poll(boot_time_now()); rest > duration::zero()) {
            m_runtime.sleep_for(std::min(rest, m_options.check_period));
            continue;
        }
        const bool is_reporter = m_is_reporter && m_is_reporter();
        m_store.set_watch_timeout(is_reporter ? m_options.reporter_watch_time : m_options.watch_time);
        const time_point requested_at = boot_time_now();
        m_poll_started_at = requested_at;
        const auto outcome = m_is_synchronized ? read_changes() : read_all_entries();
        m_poll_started_at.reset();
        if (outcome) {
            record_contact(requested_at);
            m_runtime.sleep_for(is_reporter ? m_options.reporter_period : m_options.poll_period);
            continue;
        }
        if (outcome.error().code == error_code::not_found) {
            m_log.write(log_level::info, "store_history_lost", field("revision", m_position.revision));
            m_is_synchronized = false;
            if (const auto reread = read_all_entries(); reread) {
                record_contact(requested_at);
                m_runtime.sleep_for(m_options.poll_period);
                continue;
            }
            // The known entries stay in force until the store or a peer responds.
            m_is_synchronized = !m_entries.empty();
        }
        record_failure(outcome.error());
        if (contact_age(boot_time_now()) > m_options.peer_snapshot_delay)
            request_peer_snapshot();
        m_runtime.sleep_for(m_options.retry_period);
    }
}

void fleet_synchronizer::record_contact(time_point requested_at) {
    const time_point now = boot_time_now();
    if (requested_at - m_contact_at > m_options.outage_threshold)
        m_recovered_at = now;
    if (!m_has_contact) {
        m_has_contact = true;
        m_log.write(log_level::info, "store_regained", field("revision", m_position.revision),
                    field("away", now - m_contact_at));
    }
    m_contact_at = now;
}

void fleet_synchronizer::record_failure(const error& cause) {
    if (!m_has_contact)
        return;
    m_has_contact = false;
    m_log.write(log_level::warn, "store_lost", field("cause", cause.message), field("code", to_string(cause.code)),
                field("revision", m_position.revision), field("contact_age", contact_age(boot_time_now())));
}

result<void> fleet_synchronizer::read_all_entries() {
    std::vector<std::string> prefixes = m_adapter.watched_prefixes();
    prefixes.emplace_back(product_key_prefix);
    const time_point requested_at = boot_time_now();
    std::map<std::string, known_entry> entries;
    std::optional<store_position> oldest;
    for (const std::string& prefix : prefixes) {
        BOOST_OUTCOME_TRY(auto range, m_store.get_prefix(prefix));
        if (oldest && !is_same_era(*oldest, range.position))
            return failure(error_code::unavailable, "the store came back from a copy between two reads");
        for (store_entry& entry : range.entries)
            entries[entry.key] = {std::move(entry.value), {range.position.era, entry.mod_revision}};
        // The first watch starts at the oldest position, so it repeats changes that happened between two of these
        // reads.
        oldest = std::min(oldest.value_or(range.position), range.position);
    }
    record_contact(requested_at);
    replace_entries(entries, oldest.value_or(store_position()), "store");
    return boost::outcome_v2::success();
}

result<void> fleet_synchronizer::read_changes() {
    const time_point requested_at = boot_time_now();
    BOOST_OUTCOME_TRY(const auto position,
                      m_store.watch_prefix("", m_position, [&](const std::vector<store_event>& events) {
                          // The outage must be recorded before the events are applied: after one, removals may be
                          // entries that lapsed.
                          record_contact(requested_at);
                          for (const store_event& event : events) {
                              // A region update may have brought later changes meanwhile; the removals among them are
                              // final.
                              if (event.position <= m_position)
                                  continue;
                              retain_change(event.key, event.value, event.position);
                              apply_entry(event.key, event.value, event.position, "store");
                          }
                          return false;
                      }));
    m_position = std::max(m_position, position);
    m_fleet.confirm(m_position, boot_time_now());
    if (m_on_change)
        m_on_change();
    return boost::outcome_v2::success();
}

void fleet_synchronizer::retain_change(const std::string& key, const std::optional<std::string>& value,
                                       store_position position) {
    m_changes.push_back({key, value, position});
    m_change_bytes += size_of_change(m_changes.back());
    while (m_change_bytes > m_options.retained_change_bytes) {
        // A host that knows the position of a dropped change needs no change at that position, so the position itself
        // becomes the lower limit.
        m_changes_from = m_changes.front().position;
        m_change_bytes -= size_of_change(m_changes.front());
        m_changes.pop_front();
    }
}

std::optional<std::vector<store_change>> fleet_synchronizer::changes_since(store_position position) const {
    if (position < m_changes_from)
        return std::nullopt;
    std::vector<store_change> changes;
    std::size_t bytes = 0;
    for (const store_change& change : m_changes) {
        if (change.position <= position)
            continue;
        bytes += size_of_change(change);
        if (bytes > m_options.max_region_update_change_bytes)
            return std::nullopt;
        changes.push_back(change);
    }
    return changes;
}

void fleet_synchronizer::apply_region_update(const region_update& update, time_point requested_at) {
    if (!m_is_synchronized)
        return;
    if (!update.changes && update.store_position > m_position) {
        m_log.write(log_level::debug, "bulletin_without_changes", field("reporter", update.reporter),
                    field("revision", m_position.revision), field("reporter_revision", update.store_position.revision));
        m_region_update_at.reset();
        return;
    }
    // A reporter that still follows an earlier era knows nothing of what was written in this one.
    if (update.follows_store && is_same_era(update.store_position, m_position)) {
        record_contact(requested_at);
        m_region_update_at = std::max(m_region_update_at.value_or(requested_at), requested_at);
        m_fleet.confirm(m_position, boot_time_now());
    } else {
        m_region_update_at.reset();
    }
    if (update.store_position <= m_position)
        return;
    for (const store_change& change : *update.changes) {
        if (change.position <= m_position)
            continue;
        retain_change(change.key, change.value, change.position);
        apply_entry(change.key, change.value, change.position, update.reporter);
    }
    m_position = update.store_position;
    m_fleet.confirm(m_position, boot_time_now());
    if (m_on_change)
        m_on_change();
}

void fleet_synchronizer::request_peer_snapshot() {
    if (!m_request_peer_snapshot)
        return;
    const auto text =
        m_request_peer_snapshot(m_is_synchronized ? m_position : store_position{.era = {}, .revision = -1});
    if (!text)
        return;
    if (const auto applied = apply_snapshot(*text); !applied)
        m_log.write(log_level::warn, "peer_snapshot_refused", field("cause", applied.error().message));
}

std::string fleet_synchronizer::snapshot() const {
    record_writer writer;
    writer.add(snapshot_version);
    write_position(writer, m_position);
    writer.add_number(static_cast<std::int64_t>(m_entries.size()));
    for (const auto& [key, entry] : m_entries) {
        writer.add(key).add(entry.value);
        write_position(writer, entry.position);
    }
    return writer.text();
}

result<void> fleet_synchronizer::apply_snapshot(std::string_view text) {
    record_reader reader(text);
    BOOST_OUTCOME_TRYV(reader.expect(snapshot_version));
    BOOST_OUTCOME_TRY(const auto position, read_position(reader));
    BOOST_OUTCOME_TRY(const auto count, reader.read_number());
    std::map<std::string, known_entry> entries;
    for (std::int64_t index = 0; index < count; ++index) {
        BOOST_OUTCOME_TRY(const std::string key, reader.read());
        BOOST_OUTCOME_TRY(std::string value, reader.read());
        BOOST_OUTCOME_TRY(const auto entry_position, read_position(reader));
        entries[key] = {std::move(value), entry_position};
    }
    BOOST_OUTCOME_TRYV(reader.finish());
    // The store may have responded while the request to the peer was in progress.
    if (m_is_synchronized && position <= m_position)
        return boost::outcome_v2::success();
    replace_entries(entries, position, "peer");
    return boost::outcome_v2::success();
}

void fleet_synchronizer::replace_entries(const std::map<std::string, known_entry>& entries, store_position position,
                                         std::string_view source) {
    if (!m_entries.empty() && position.era > m_position.era)
        begin_era(position, source);
    const bool may_return = may_have_lapsed(boot_time_now());
    std::vector<std::string> gone;
    std::size_t awaited = 0;
    for (const auto& [key, known] : m_entries) {
        if (entries.contains(key))
            continue;
        // Hosts write their own records again and are known by their reports meanwhile.
        if (may_return && known.position.era < position.era && !host_of_record_key(key))
            ++awaited;
        else
            gone.push_back(key);
    }
    for (const std::string& key : gone)
        apply_entry(key, std::nullopt, position, source);
    for (const auto& [key, entry] : entries)
        apply_entry(key, entry.value, entry.position, source);
    const store_position known_position = std::exchange(m_position, std::max(m_position, position));
    m_changes.clear();
    m_change_bytes = 0;
    m_changes_from = m_position;
    m_fleet.confirm(m_position, boot_time_now());
    const bool was_synchronized = std::exchange(m_is_synchronized, true);
    m_log.write(log_level::info, "fleet_read", field("source", source), field("era", number_of(m_position.era)),
                field("revision", m_position.revision), field("read_at", position.revision),
                field("known_before", known_position.revision), field("entries", entries.size()),
                field("awaited", awaited), field("first", !was_synchronized));
    if (m_on_change)
        m_on_change();
}

void fleet_synchronizer::begin_era(store_position position, std::string_view source) {
    m_log.write(log_level::warn, "store_restored", field("era", number_of(position.era)),
                field("known_era", number_of(m_position.era)), field("revision", position.revision),
                field("known_revision", m_position.revision), field("source", source));
    m_recovered_at = boot_time_now();
    m_runtime.spawn([this] {
        while (may_have_lapsed(boot_time_now()))
            m_runtime.sleep_for(m_options.check_period);
        drop_unwritten_entries();
    });
}

void fleet_synchronizer::drop_unwritten_entries() {
    std::vector<std::string> unwritten;
    for (const auto& [key, known] : m_entries) {
        if (known.position.era < m_position.era)
            unwritten.push_back(key);
    }
    for (const std::string& key : unwritten)
        apply_entry(key, std::nullopt, m_position, "recovery");
    if (!unwritten.empty() && m_on_change)
        m_on_change();
}

decoded_entry fleet_synchronizer::decode_entry(const std::string& key, const std::optional<std::string>& value) const {
    const auto host = host_of_record_key(key);
    if (!host)
        return m_adapter.decode_entry(key, value);
    if (!value)
        return {host_withdrawn{*host}, {}};
    const auto record = read_host_record(*value);
    if (!record)
        return {host_withdrawn{*host}, record.error().message};
    return {host_announced{record.value()}, {}};
}

void fleet_synchronizer::apply_entry(const std::string& key, const std::optional<std::string>& value,
                                     store_position position, std::string_view source) {
    const auto known = m_entries.find(key);
    const bool is_known = known != m_entries.end() && known->second.position == position && value;
    const bool is_outdated = known != m_entries.end() && known->second.position > position;
    if (is_outdated)
        m_log.write(log_level::info, "entry_skipped", field("key", key), field("revision", position.revision),
                    field("known_revision", known->second.position.revision), field("source", source));
    if (is_known || is_outdated)
        return;
    const decoded_entry decoded = decode_entry(key, value);
    if (!decoded.problem.empty())
        m_log.write(log_level::warn, "entry_unreadable", field("key", key), field("revision", position.revision),
                    field("problem", decoded.problem));
    const change_effect effect =
        decoded.change ? apply_change(key, *decoded.change, position, source) : change_effect::unchanged;
    if (effect == change_effect::outdated) {
        // Peers that take a snapshot must not begin with an entry that is known to be outdated.
        if (known != m_entries.end())
            known->second.position = position;
    } else if (value) {
        m_entries[key] = {*value, position};
    } else if (known != m_entries.end()) {
        m_entries.erase(known);
    }
}

change_effect fleet_synchronizer::apply_change(const std::string& key, const fleet_change& change,
                                               store_position position, std::string_view source) {
    const time_point now = boot_time_now();
    if (const auto* withdrawn = std::get_if<upstream_withdrawn>(&change);
        withdrawn != nullptr && may_have_lapsed(now)) {
        m_fleet.mark_lapsed(withdrawn->id, *m_recovered_at);
        m_log.write(log_level::info, "upstream_lapsed", field("upstream", withdrawn->id),
                    field("revision", position.revision));
        return change_effect::applied;
    }
    const change_effect effect = m_fleet.apply(change, now);
    if (const auto* host = std::get_if<host_announced>(&change))
        m_membership.announce(host->host, now, position);
    if (const auto* host = std::get_if<host_withdrawn>(&change))
        m_membership.withdraw(host->name, now);
    if (effect != change_effect::unchanged)
        m_log.write(log_level::info, "fleet_change", field("what", std::visit(change_description(), change)),
                    field("effect", to_string(effect)), field("key", key), field("revision", position.revision),
                    field("source", source));
    return effect;
}

} // namespace ragworthinge
