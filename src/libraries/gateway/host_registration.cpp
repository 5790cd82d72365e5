#include "gateway/host_registration.h"

#include "base/boot_clock.h"
#include "gateway/host_record.h"
#include "net/fiber_runtime.h"

#include <utility>

namespace ragworthinge {

host_registration::host_registration(fiber_runtime& runtime, platform_store& store, entry_host self, event_log& log,
                                     host_registration_options options)
    : m_runtime(runtime), m_store(store), m_self(std::move(self)), m_log(log), m_options(options) {}

void host_registration::start() {
    m_runtime.spawn([this] { maintain_registration(); });
}

void host_registration::maintain_registration() {
    while (!m_is_stopped) {
        if (!m_is_registered) {
            if (const auto put = put_record(); put) {
                m_is_registered = true;
                m_log.write(log_level::info, "host_registered", field("lease", m_session->lease().value_or(0)),
                            field("revision", m_record_position->revision));
                // The host may have been told to stop while the record was written.
                if (m_is_stopped)
                    remove_record();
            } else {
                m_log.write(log_level::debug, "registration_failed", field("cause", put.error().message));
            }
        } else if (const auto renewed = m_session->renew(boot_time_now()); !renewed) {
            if (renewed.error().code == error_code::not_found) {
                m_is_registered = false;
                m_log.write(log_level::warn, "host_lease_ended", field("cause", renewed.error().message));
                continue;
            }
            m_log.write(log_level::debug, "renewal_failed", field("cause", renewed.error().message));
        }
        wait_for_next_step();
    }
}

void host_registration::wait_for_next_step() {
    const time_point due = boot_time_now() + (m_is_registered ? m_options.renew_period : m_options.retry_period);
    do {
        m_runtime.sleep_for(m_options.retry_period);
    } while (m_is_registered && !m_is_stopped && boot_time_now() < due);
}

result<void> host_registration::put_record() {
    if (!m_session)
        m_session.emplace(m_store, m_options.lease_time);
    if (!m_session->lease()) {
        BOOST_OUTCOME_TRYV(m_session->open(boot_time_now()));
    }
    const std::string key = host_record_key(m_self.name);
    BOOST_OUTCOME_TRY(const auto replaced, m_store.get(key));
    store_transaction transaction;
    transaction.compares.push_back({.key = key, .mod_revision = replaced ? replaced->mod_revision : 0});
    transaction.success.push_back({.type = store_operation::kind::put,
                                   .key = key,
                                   .value = write_host_record(m_self),
                                   .lease = m_session->lease().value_or(0)});
    const auto outcome = m_store.commit(transaction);
    if (!outcome) {
        if (outcome.error().code == error_code::not_found)
            m_session.reset();
        return outcome.error();
    }
    if (!outcome.value().succeeded)
        return failure(error_code::conflict, "the record was changed while it was being replaced");
    m_record_position = outcome.value().position;
    return boost::outcome_v2::success();
}

void host_registration::compare_with_store(const std::map<host_id, entry_host>& hosts, store_position position) {
    // Before the store's changes are known up to the last write, the record is expected to be missing.
    if (!m_is_registered || m_is_stopped || position < m_record_position)
        return;
    const auto stored = hosts.find(m_self.name);
    if (stored != hosts.end() && stored->second.incarnation >= m_self.incarnation)
        return;
    m_is_registered = false;
    m_log.write(log_level::warn, "host_record_lost", field("written_at", m_record_position->revision),
                field("seen_at", position.revision),
                field("stored_incarnation", stored == hosts.end() ? 0 : stored->second.incarnation));
}

void host_registration::withdraw() {
    m_is_stopped = true;
    remove_record();
}

void host_registration::remove_record() {
    if (!m_record_position) {
        m_log.write(log_level::info, "withdrawal_skipped", field("cause", "the record's write was never confirmed"));
        return;
    }
    const std::string key = host_record_key(m_self.name);
    store_transaction transaction;
    transaction.compares.push_back({.key = key, .mod_revision = m_record_position->revision});
    transaction.success.push_back({.type = store_operation::kind::remove, .key = key, .value = {}, .lease = 0});
    const auto outcome = m_store.commit(transaction);
    if (!outcome)
        m_log.write(log_level::info, "withdrawal_failed", field("cause", outcome.error().message));
    else
        m_log.write(log_level::info, "host_withdrawn", field("revision", m_record_position->revision),
                    field("removed", outcome.value().succeeded));
}

} // namespace ragworthinge
