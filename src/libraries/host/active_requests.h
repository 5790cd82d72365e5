#pragma once

#include "base/digest.h"
#include "base/identifiers.h"

#include <cstddef>
#include <functional>
#include <list>
#include <optional>

namespace ragworthinge {

class key_table;

/// Requests being served now with the key that admitted each, so that a revoked key also ends streams and long polls.
class active_requests {
public:
    struct entry {
        std::optional<digest> key_digest; ///< Absent on open routes.
        account_id account;
        std::function<void()> cut; ///< Ends the transfer; the fiber that serves it sees an error.
    };

    /// Removes the request when it goes out of scope.
    class registration {
    public:
        registration(active_requests& owner, std::list<entry>::iterator position)
            : m_owner(owner), m_position(position) {}
        registration(const registration&) = delete;
        registration& operator=(const registration&) = delete;
        ~registration() { m_owner.m_entries.erase(m_position); }

    private:
        active_requests& m_owner;
        std::list<entry>::iterator m_position;
    };

    [[nodiscard]] registration add(entry request) {
        return {*this, m_entries.insert(m_entries.end(), std::move(request))};
    }

    /// Ends all requests whose key is not in the table any more or belongs to another account. Returns their number.
    std::size_t cut_revoked(const key_table& keys);

    /// Ends all requests that came with a key, because the keys cannot be shown to be current.
    std::size_t cut_keyed();

    std::size_t size() const noexcept { return m_entries.size(); }

private:
    std::list<entry> m_entries;
};

} // namespace ragworthinge
