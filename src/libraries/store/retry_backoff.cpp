#include "store/retry_backoff.h"

#include <algorithm>
#include <cassert>

namespace ragworthinge {

retry_backoff::retry_backoff(const retry_backoff_options& options, std::uint64_t seed)
    : m_options(options), m_ceiling(options.base), m_random_state(seed) {
    assert(options.base > duration::zero() && options.cap >= options.base);
    assert(options.min_fraction >= 0 && options.min_fraction <= 1);
}

duration retry_backoff::next_delay() {
    const double fraction = m_options.min_fraction + (1 - m_options.min_fraction) * draw_fraction();
    const auto delay = duration(static_cast<duration::rep>(static_cast<double>(m_ceiling.count()) * fraction));
    m_ceiling = std::min(m_options.cap, m_ceiling * 2);
    return delay;
}

// SplitMix64 has eight bytes of state, so each call to the store can have its own generator.
double retry_backoff::draw_fraction() {
    m_random_state += 0x9e3779b97f4a7c15U;
    std::uint64_t mixed = m_random_state;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
    mixed ^= mixed >> 31U;
    return static_cast<double>(mixed >> 11U) * 0x1.0p-53;
}

} // namespace ragworthinge
