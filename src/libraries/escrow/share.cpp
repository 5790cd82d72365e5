#include "escrow/share.h"

#include <algorithm>
#include <cassert>
#include <chrono>

namespace ragworthinge {

namespace {

__extension__ using wide_integer = unsigned __int128;

constexpr std::uint64_t nanoseconds_per_second = 1'000'000'000;

} // namespace

bool share::spend(units count, time_point now) {
    assert(count >= 0);
    if (m_supply == supply::refund) {
        if (m_in_use + count > m_size.burst)
            return false;
        m_in_use += count;
        return true;
    }
    refill(now);
    if (m_available < count)
        return false;
    m_available -= count;
    return true;
}

void share::refund(units count) {
    assert(m_supply == supply::refund && count <= m_in_use);
    m_in_use -= count;
}

units share::lower(const amount& to, time_point now) {
    refill(now);
    if (to.rate < m_size.rate)
        m_fraction = 0;
    m_size = lower_of(m_size, to);
    const units released = std::max<units>(0, m_available - m_size.burst);
    m_available -= released;
    return released;
}

void share::raise(const amount& to, units carried, time_point now) {
    refill(now);
    m_size = higher_of(m_size, to);
    if (m_supply == supply::refill)
        m_available += std::clamp<units>(carried, 0, m_size.burst - m_available);
}

amount share::held() const {
    return {.rate = m_size.rate, .burst = std::max(m_size.burst, m_in_use)};
}

units share::available(time_point now) const {
    if (m_supply == supply::refund)
        return std::max<units>(0, m_size.burst - m_in_use);
    return filled(now).available;
}

share::filling share::filled(time_point now) const {
    if (now <= m_refilled_at || m_size.rate <= 0)
        return {.available = m_available, .fraction = m_fraction};
    const auto elapsed = std::chrono::duration_cast<std::chrono::nanoseconds>(now - m_refilled_at).count();
    const auto rate = static_cast<std::uint64_t>(m_size.rate);
    const auto room = static_cast<std::uint64_t>(m_size.burst - m_available);
    std::uint64_t created = 0;
    std::uint64_t product = 0;
    std::uint64_t fraction = 0;
    if (!__builtin_mul_overflow(rate, static_cast<std::uint64_t>(elapsed), &product) &&
        !__builtin_add_overflow(product, m_fraction, &product)) {
        created = product / nanoseconds_per_second;
        fraction = product % nanoseconds_per_second;
    } else {
        const wide_integer wide = static_cast<wide_integer>(rate) * static_cast<std::uint64_t>(elapsed) + m_fraction;
        created = static_cast<std::uint64_t>(std::min<wide_integer>(wide / nanoseconds_per_second, room));
        fraction = static_cast<std::uint64_t>(wide % nanoseconds_per_second);
    }
    if (created >= room)
        return {.available = m_size.burst, .fraction = 0};
    return {.available = m_available + static_cast<units>(created), .fraction = fraction};
}

void share::refill(time_point now) {
    const filling next = filled(now);
    m_available = next.available;
    m_fraction = next.fraction;
    // A time point that lies behind the last one must not let the same interval refill twice.
    m_refilled_at = std::max(m_refilled_at, now);
}

} // namespace ragworthinge
