#include "host/configuration_follower.h"

#include "net/fiber_runtime.h"

#include <utility>
#include <vector>

namespace ragworthinge {

namespace {

constexpr std::chrono::milliseconds refresh_period{500};
constexpr std::chrono::milliseconds pause_after_failure{500};

} // namespace

void configuration_follower::start() {
    // The poll proves freshness, which a silent watch does not; the watch only makes changes arrive sooner.
    m_options.runtime.spawn([this] {
        for (;;) {
            if (const auto refreshed = refresh(); !refreshed)
                m_options.on_problem(refreshed.error().message);
            m_options.runtime.sleep_for(refresh_period);
        }
    });
    m_options.runtime.spawn([this] { watch(); });
}

result<void> configuration_follower::refresh() {
    const time_point sent_at = monotonic_clock::now();
    BOOST_OUTCOME_TRY(const auto entry, m_options.store.get(std::string(configuration_pointer_key)));
    if (!entry) {
        m_options.on_store_answer(sent_at, 0);
        return boost::outcome_v2::success();
    }
    BOOST_OUTCOME_TRY(const configuration_pointer pointer, parse_pointer(entry->value));
    m_options.on_store_answer(sent_at, pointer.revision);
    if (!m_replica.wants(pointer.revision))
        return boost::outcome_v2::success();

    BOOST_OUTCOME_TRY(std::string content, load_content(pointer));
    offer(pointer, std::move(content), "store");
    return boost::outcome_v2::success();
}

result<std::string> configuration_follower::load_content(const configuration_pointer& pointer) {
    std::vector<std::string> chunks;
    for (std::size_t number = 0; number < pointer.chunks; ++number) {
        BOOST_OUTCOME_TRY(auto chunk, m_options.store.get(chunk_key(pointer.revision, number)));
        if (!chunk)
            return failure(error_code::protocol_violation, "a chunk of the configuration is missing");
        chunks.push_back(std::move(chunk->value));
    }
    return join_chunks(pointer, chunks);
}

void configuration_follower::offer_from_peer(const configuration_pointer& pointer, std::string content,
                                             const std::string& peer) {
    if (m_replica.wants(pointer.revision))
        offer(pointer, std::move(content), peer);
}

void configuration_follower::offer(const configuration_pointer& pointer, std::string content,
                                   const std::string& source) {
    const offer_report report = m_replica.offer(pointer, std::move(content), source);
    if (report.outcome == offer_outcome::accepted)
        m_options.on_change();
    else if (report.outcome != offer_outcome::known)
        m_options.on_problem(report.message);
}

void configuration_follower::watch() {
    const std::string key(configuration_pointer_key);
    store_position seen;
    bool has_baseline = false;
    for (;;) {
        if (!has_baseline) {
            if (const auto range = m_options.store.get_prefix(key)) {
                seen = range.value().position;
                has_baseline = true;
            }
        }
        if (has_baseline) {
            const auto watched = m_options.store.watch_prefix(key, seen, [this](const std::vector<store_event>&) {
                if (const auto refreshed = refresh(); !refreshed)
                    m_options.on_problem(refreshed.error().message);
                return true;
            });
            // Without a result the history was compacted or the store is down; the poll has the newest state.
            has_baseline = watched.has_value();
            if (watched)
                seen = watched.value();
        }
        m_options.runtime.sleep_for(pause_after_failure);
    }
}

} // namespace ragworthinge
