#pragma once

#include <cstddef>
#include <utility>

namespace ragworthinge {

class byte_reservation;

/// Bounds the bytes that many users hold together. Used from one thread; outlives its reservations.
///
/// One user at a time may go beyond the limit, by the overdraft at most: users that each hold a part and wait for the
/// rest would otherwise wait for each other.
class byte_budget {
public:
    byte_budget(std::size_t limit, std::size_t overdraft) noexcept : m_limit(limit), m_overdraft(overdraft) {}

    std::size_t held() const noexcept { return m_held; }

private:
    friend class byte_reservation;

    std::size_t m_limit;
    std::size_t m_overdraft;
    std::size_t m_held = 0;
    const byte_reservation* m_overdrawn_by = nullptr;
};

/// A part of a budget that is given back at the end.
class byte_reservation {
public:
    byte_reservation() = default;
    explicit byte_reservation(byte_budget& budget) noexcept : m_budget(&budget) {}
    byte_reservation(const byte_reservation&) = delete;
    byte_reservation& operator=(const byte_reservation&) = delete;
    byte_reservation(byte_reservation&& other) noexcept { take(other); }
    byte_reservation& operator=(byte_reservation&& other) noexcept {
        release();
        take(other);
        return *this;
    }
    ~byte_reservation() { release(); }

    /// Adds bytes; false if the budget has no room for them.
    bool try_add(std::size_t bytes) noexcept {
        const std::size_t held = m_budget->m_held + bytes;
        if (held > m_budget->m_limit) {
            const bool may_overdraw = m_budget->m_overdrawn_by == nullptr || m_budget->m_overdrawn_by == this;
            if (!may_overdraw || held > m_budget->m_limit + m_budget->m_overdraft)
                return false;
            m_budget->m_overdrawn_by = this;
        }
        m_budget->m_held = held;
        m_bytes += bytes;
        return true;
    }

private:
    void take(byte_reservation& other) noexcept {
        m_budget = other.m_budget;
        m_bytes = std::exchange(other.m_bytes, 0);
        if (m_budget != nullptr && m_budget->m_overdrawn_by == &other)
            m_budget->m_overdrawn_by = this;
    }

    void release() noexcept {
        if (m_budget == nullptr)
            return;
        m_budget->m_held -= std::exchange(m_bytes, 0);
        if (m_budget->m_overdrawn_by == this)
            m_budget->m_overdrawn_by = nullptr;
    }

    byte_budget* m_budget = nullptr;
    std::size_t m_bytes = 0;
};

} // namespace ragworthinge
