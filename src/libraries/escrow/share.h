#pragma once

#include "base/time.h"
#include "escrow/amount.h"

namespace ragworthinge {

/// Token bucket that is one host's part of a budget. Tokens are created only by refill, so the units spent in a window
/// are at most the tokens at its start plus rate x window. A share of slots has rate 0 and gets its units back by
/// refund.
class share {
public:
    /// How units come back.
    enum class supply {
        refill, ///< With time, at the rate of the share.
        refund  ///< When a request completes.
    };

    explicit share(supply kind = supply::refill) : m_supply(kind) {}

    /// Takes units; false, with no effect, if there are too few.
    [[nodiscard]] bool spend(units count, time_point now);

    /// Returns units of completed requests. Only for slots.
    void refund(units count);

    /// Reduces the size where `to` is smaller and returns the tokens that no longer fit.
    units lower(const amount& to, time_point now);

    /// Increases the size where `to` is larger. A refilled share adds `carried` tokens as far as they fit, and none
    /// otherwise; slots are usable immediately.
    void raise(const amount& to, units carried, time_point now);

    /// Assigned size.
    [[nodiscard]] const amount& size() const { return m_size; }

    /// Size that others must not use: the assigned size, or what is still in use if that is more.
    [[nodiscard]] amount held() const;

    /// Tokens that can be spent now.
    [[nodiscard]] units available(time_point now) const;

    /// Units spent and not refunded. Only for slots.
    [[nodiscard]] units in_use() const { return m_in_use; }

private:
    struct filling {
        units available;
        std::uint64_t fraction;
    };
    [[nodiscard]] filling filled(time_point now) const;
    void refill(time_point now);

    supply m_supply;
    amount m_size;
    units m_available = 0;
    std::uint64_t m_fraction = 0; ///< Billionths of a millionth that did not make up a whole one yet.
    units m_in_use = 0;
    time_point m_refilled_at;
};

} // namespace ragworthinge
