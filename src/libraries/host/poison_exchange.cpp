#include "host/poison_exchange.h"

#include "net/fiber_runtime.h"
#include "store/platform_store.h"

#include <utility>

namespace ragworthinge {

namespace {

/// Several rounds of heartbeats, so that a lost one does no harm.
constexpr std::chrono::seconds announcement_time{3};
/// Catches what heartbeats missed, such as records from before this host started.
constexpr std::chrono::seconds refresh_period{30};

} // namespace

poison_exchange::poison_exchange(poison_exchange_options options)
    : m_options(std::move(options)), m_registry({.host = m_options.host, .run = m_options.run}) {}

void poison_exchange::start() {
    m_options.runtime.spawn([this] { read_all(); });
    m_refresh = m_options.timers.subscribe(refresh_period, [this](time_point) {
        for (const std::string& fingerprint : m_registry.expire(wall_clock::now())) {
            const store_transaction removal{
                .success = {{.type = store_operation::kind::remove, .key = quarantine_store_key(fingerprint)}}};
            // A record that cannot be removed now has no effect any more; another host removes it later.
            static_cast<void>(m_options.store.commit(removal));
        }
        read_all();
    });
}

void poison_exchange::read_all() {
    const auto range = m_options.store.get_prefix(quarantine_store_key({}));
    if (!range)
        return;
    for (const store_entry& entry : range.value().entries)
        merge(entry.value);
}

void poison_exchange::publish(const poison_record& record) {
    if (record.uncleared_crashes().size() > 1)
        m_options.on_event("request_quarantined", record.fingerprint + " account " + record.account);
    m_recent.push_back({record.encode(), monotonic_clock::now() + announcement_time});
    m_options.runtime.spawn([this, record] { store(record); });
    m_options.announce();
}

void poison_exchange::store(const poison_record& record) {
    const store_transaction transaction{.success = {{.type = store_operation::kind::put,
                                                     .key = quarantine_store_key(record.fingerprint),
                                                     .value = record.encode()}}};
    // Without the store the heartbeats still carry the record to all hosts that run now.
    static_cast<void>(m_options.store.commit(transaction));
}

std::vector<std::string> poison_exchange::recent_records(time_point now) {
    while (!m_recent.empty() && m_recent.front().until < now)
        m_recent.pop_front();
    std::vector<std::string> records;
    for (const outgoing& item : m_recent)
        records.push_back(item.record);
    return records;
}

void poison_exchange::take(const std::vector<std::string>& records) {
    for (const std::string& record : records)
        merge(record);
}

void poison_exchange::merge(const std::string& text) {
    const auto record = poison_record::decode(text);
    if (!record) {
        m_options.on_event("store_garbage", record.error().message);
        return;
    }
    if (const auto merged = m_registry.merge(record.value(), wall_clock::now()))
        m_options.runtime.spawn([this, merged = *merged] { store(merged); });
}

bool poison_exchange::release(const std::string& fingerprint) {
    const auto released = m_registry.release(fingerprint);
    if (!released)
        return false;
    m_options.on_event("quarantine_released", fingerprint);
    publish(*released);
    return true;
}

} // namespace ragworthinge
