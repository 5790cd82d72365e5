#pragma once

#include "base/time.h"
#include "steering/fleet_report.h"

#include <map>
#include <set>

namespace ragworthinge {

struct crash_register_options {
    unsigned death_limit = 3; ///< Upstreams that a request may crash, over all hosts, before it is refused.
    /// Deaths are forgotten after this time without another.
    duration memory = std::chrono::seconds(60);
    std::size_t record_limit = 1000; ///< Bounds the memory if all upstreams crash at once.
};

/// Recognises requests that crash each upstream that runs them, by deaths that hosts report to each other.
/// A request that is answered is innocent: it ran while its upstream died of something else.
class crash_register {
public:
    explicit crash_register(crash_register_options options = {}) : m_options(options) {}

    /// The upstream's process ended while the request ran there.
    void record_death(std::uint64_t fingerprint, time_point now);

    void record_answer(std::uint64_t fingerprint);

    /// Replaces what another host counted.
    void merge(const host_id& host, const std::vector<crash_notice>& notices, time_point now);

    bool is_refused(std::uint64_t fingerprint, time_point now) const;

    /// Own counts, for the report.
    std::vector<crash_notice> notices(time_point now);

    /// Counts of this and all other hosts but the given one, for its bulletin.
    std::vector<crash_notice> notices_without(const host_id& host, time_point now);

private:
    struct count {
        unsigned deaths = 0;
        time_point last_death;
    };
    using counts = std::map<std::uint64_t, count>;

    void forget_old(counts& records, time_point now) const;

    crash_register_options m_options;
    counts m_own;
    std::map<host_id, counts> m_others;
};

} // namespace ragworthinge
