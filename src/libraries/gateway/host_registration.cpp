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
                m_log.write(log_level::info, "host_registered", field("lease", m_session->lease().value_or(0)));
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
        m_runtime.sleep_for(m_is_registered ? m_options.renew_period : m_options.retry_period);
    }
}

result<void> host_registration::put_record() {
    if (!m_session)
        m_session.emplace(m_store, m_options.lease_time);
    if (!m_session->lease()) {
        BOOST_OUTCOME_TRYV(m_session->open(boot_time_now()));
    }
    store_transaction transaction;
    transaction.success.push_back({.type = store_operation::kind::put,
                                   .key = host_record_key(m_self.name),
                                   .value = write_host_record(m_self),
                                   .lease = m_session->lease().value_or(0)});
    // After an unknown outcome the record is written again. This is safe, since the bytes are the same.
    const auto outcome = m_store.commit(transaction);
    if (!outcome) {
        if (outcome.error().code == error_code::not_found)
            m_session.reset();
        return outcome.error();
    }
    return boost::outcome_v2::success();
}

void host_registration::withdraw() {
    m_is_stopped = true;
    store_transaction transaction;
    transaction.success.push_back(
        {.type = store_operation::kind::remove, .key = host_record_key(m_self.name), .value = {}, .lease = 0});
    if (const auto outcome = m_store.commit(transaction); !outcome)
        m_log.write(log_level::info, "withdrawal_failed", field("cause", outcome.error().message));
}

} // namespace ragworthinge
