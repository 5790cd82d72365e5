#pragma once

#include "store/platform_store.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace ragworthinge::test {

/// Fault injected into one store call.
enum class call_fault {
    none,
    refused,       ///< Not applied; fails with unavailable.
    lost_request,  ///< Not applied; the outcome is unknown.
    lost_response, ///< Applied; the outcome is unknown.
    applied_later, ///< The outcome is unknown; applied before a later call of the same client.
    stale_read     ///< A get returns the state before the last write.
};

/// Store content shared by all clients of one test.
struct scripted_store_state {
    std::map<std::string, store_entry> entries;
    std::map<std::string, store_entry> entries_before;
    std::int64_t revision = 1;
    std::size_t calls = 0;
    std::size_t largest_value = 0;
};

/// In-memory store that injects a chosen fault into each call.
class scripted_store : public platform_store {
public:
    explicit scripted_store(scripted_store_state& state) : m_state(state) {}

    std::function<void()> before_call = [] {
    };
    std::function<call_fault(std::size_t call)> fault = [](std::size_t) {
        return call_fault::none;
    };

    std::size_t delay = 0; ///< Number of calls after which an applied_later write takes effect.

    result<std::optional<store_entry>> get(const std::string& key) override {
        const auto kind = begin_call();
        if (kind == call_fault::refused || kind == call_fault::lost_request)
            return failure(error_code::unavailable, "no response");
        const auto& entries = kind == call_fault::stale_read ? m_state.entries_before : m_state.entries;
        const auto found = entries.find(key);
        return found == entries.end() ? std::nullopt : std::optional(found->second);
    }

    result<store_range> get_prefix(const std::string& prefix) override {
        if (begin_call() == call_fault::refused)
            return failure(error_code::unavailable, "no response");
        store_range range;
        for (const auto& [key, entry] : m_state.entries)
            if (key.starts_with(prefix))
                range.entries.push_back(entry);
        return range;
    }

    result<store_transaction_result> commit(const store_transaction& transaction) override {
        const auto kind = begin_call();
        if (kind == call_fault::refused)
            return failure(error_code::unavailable, "refused");
        if (kind == call_fault::applied_later) {
            m_delayed = transaction;
            m_delayed_until = m_own_calls + delay;
        }
        if (kind == call_fault::lost_request || kind == call_fault::applied_later)
            return failure(error_code::outcome_unknown, "lost");
        auto transaction_result = apply(transaction);
        if (kind == call_fault::lost_response)
            return failure(error_code::outcome_unknown, "lost");
        return transaction_result;
    }

    result<std::int64_t> grant_lease(std::chrono::seconds) override { return unsupported(); }
    result<std::chrono::seconds> keep_lease_alive(std::int64_t) override { return unsupported(); }
    result<store_position> watch_prefix(const std::string&, store_position,
                                        const std::function<bool(const std::vector<store_event>&)>&) override {
        return unsupported();
    }

private:
    static error unsupported() { return {error_code::unavailable, "scripted_store does not support this call"}; }

    call_fault begin_call() {
        before_call();
        ++m_state.calls;
        const auto call = m_own_calls++;
        if (m_delayed && call >= m_delayed_until) {
            apply(*m_delayed);
            m_delayed.reset();
        }
        return fault(call);
    }

    store_transaction_result apply(const store_transaction& transaction) {
        store_transaction_result transaction_result{true, {.revision = m_state.revision}, {}};
        for (const auto& compare : transaction.compares) {
            const auto found = m_state.entries.find(compare.key);
            const auto mod_revision = found == m_state.entries.end() ? 0 : found->second.mod_revision;
            transaction_result.succeeded = transaction_result.succeeded && mod_revision == compare.mod_revision;
        }
        const auto before = m_state.entries;
        bool wrote = false;
        for (const auto& operation : transaction_result.succeeded ? transaction.success : transaction.failure)
            wrote = apply_operation(operation, transaction_result) || wrote;
        if (wrote) {
            m_state.entries_before = before;
            transaction_result.position.revision = ++m_state.revision;
        }
        return transaction_result;
    }

    bool apply_operation(const store_operation& operation, store_transaction_result& transaction_result) {
        auto& entry = m_state.entries[operation.key];
        if (operation.type == store_operation::kind::put) {
            const auto next = m_state.revision + 1;
            entry = {operation.key, operation.value, entry.create_revision == 0 ? next : entry.create_revision, next};
            m_state.largest_value = std::max(m_state.largest_value, operation.value.size());
            return true;
        }
        const bool is_get = operation.type == store_operation::kind::get;
        const bool exists = entry.mod_revision != 0;
        if (is_get && exists)
            transaction_result.entries.push_back(entry);
        if (!is_get || !exists)
            m_state.entries.erase(operation.key);
        return !is_get && exists;
    }

    scripted_store_state& m_state;
    std::size_t m_own_calls = 0;
    std::size_t m_delayed_until = 0;
    std::optional<store_transaction> m_delayed;
};

} // namespace ragworthinge::test
