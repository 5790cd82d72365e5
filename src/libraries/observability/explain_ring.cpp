#include "observability/explain_ring.h"

#include <algorithm>
#include <utility>

namespace ragworthinge {

explain_ring::explain_ring(std::size_t capacity) : m_capacity(std::max<std::size_t>(capacity, 1)) {}

void explain_ring::add(explain_record record) {
    const auto existing = m_positions.find(record.request);
    if (existing != m_positions.end()) {
        m_records[existing->second] = std::move(record);
        return;
    }
    if (m_records.size() < m_capacity) {
        m_positions.emplace(record.request, m_records.size());
        m_records.push_back(std::move(record));
        return;
    }
    m_positions.erase(m_records[m_oldest].request);
    m_positions.emplace(record.request, m_oldest);
    m_records[m_oldest] = std::move(record);
    m_oldest = (m_oldest + 1) % m_capacity;
}

const explain_record* explain_ring::find(const request_id& request) const {
    const auto found = m_positions.find(request);
    return found == m_positions.end() ? nullptr : &m_records[found->second];
}

} // namespace ragworthinge
