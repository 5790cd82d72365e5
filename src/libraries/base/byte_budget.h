#pragma once

#include <cstddef>
#include <utility>

namespace ragworthinge {

class byte_reservation;

/// Limits the total of bytes reserved by all `byte_reservation`s. Not thread-safe; must outlive its reservations.
///
/// One reservation at a time may exceed the limit, by at most the overdraft. Otherwise reservations that each hold a
/// part and need more could deadlock.
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

/// Bytes reserved from a `byte_budget`; released by the destructor.
class byte_reservation {
public:
    byte_reservation() = default;
    explicit byte_reservation(byte_budget& budget) noexcept : m_budget(&budget) {}
    byte_reservation(const byte_reservation&) = delete;
    byte_reservation& operator=(const byte_reservation&) = delete;
    byte_reservation(byte_reservation&& other) noexcept { take_from(other); }
    byte_reservation& operator=(byte_reservation&& other) noexcept {
        release();
        take_from(other);
        return *this;
    }
    ~byte_reservation() { release(); }

    /// Reserves further bytes; false if the budget does not allow them.
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
    void take_from(byte_reservation& other) noexcept {
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
