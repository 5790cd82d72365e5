#pragma once

#include "store/platform_store.h"

#include <map>
#include <string>

namespace ragworthinge {

/// In-memory store that executes transactions like etcd: each transaction that writes gets one revision.
class fake_transaction_store {
public:
    store_transaction_result commit(const store_transaction& transaction) {
        bool holds = true;
        for (const store_compare& compare : transaction.compares) {
            const auto found = m_entries.find(compare.key);
            holds = holds && (found == m_entries.end() ? 0 : found->second.mod_revision) == compare.mod_revision;
        }

        store_transaction_result outcome{holds, {.revision = m_revision}, {}};
        for (const store_operation& operation : holds ? transaction.success : transaction.failure)
            run(operation, outcome);
        m_revision = outcome.position.revision;
        return outcome;
    }

    void put(const std::string& key, const std::string& value) {
        ++m_revision;
        m_entries[key] = {key, value, m_revision, m_revision};
    }

    const std::map<std::string, store_entry>& entries() const { return m_entries; }

private:
    void run(const store_operation& operation, store_transaction_result& outcome) {
        const auto found = m_entries.find(operation.key);
        if (operation.type == store_operation::kind::get) {
            if (found != m_entries.end())
                outcome.entries.push_back(found->second);
            return;
        }
        outcome.position.revision = m_revision + 1;
        if (operation.type == store_operation::kind::remove) {
            m_entries.erase(operation.key);
            return;
        }
        const std::int64_t created =
            found == m_entries.end() ? outcome.position.revision : found->second.create_revision;
        m_entries[operation.key] = {operation.key, operation.value, created, outcome.position.revision};
    }

    std::map<std::string, store_entry> m_entries;
    std::int64_t m_revision = 1;
};

} // namespace ragworthinge
