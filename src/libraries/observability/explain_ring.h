#pragma once

#include "observability/explain_record.h"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace ragworthinge {

/// Ring buffer of the latest explanations, indexed by request id. When full, the oldest one is replaced.
class explain_ring {
public:
    /// At 15,000 requests/s and about 500 bytes per record, the default covers a quarter of a second in 2 MB. Hosts
    /// record only rejected requests and a sample of the others.
    static constexpr std::size_t default_capacity = 4096;

    explicit explain_ring(std::size_t capacity = default_capacity);

    /// Adds an explanation. It replaces one with the same request id, so that a reused id yields the latest
    /// explanation.
    void add(explain_record record);

    /// Returns the explanation of the request, or null. The pointer is valid until the next `add`.
    const explain_record* find(const request_id& request) const;

    std::size_t size() const noexcept { return m_records.size(); }

private:
    std::size_t m_capacity;
    std::size_t m_oldest = 0; ///< Position of the oldest record once the ring is full.
    std::vector<explain_record> m_records;
    std::unordered_map<request_id, std::size_t> m_positions;
};

} // namespace ragworthinge
