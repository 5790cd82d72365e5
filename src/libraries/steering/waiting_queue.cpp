#include "steering/waiting_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace ragworthinge {

bool waiting_queue::remove(waiting_ticket ticket) {
    return std::erase_if(m_requests, [&](const waiting_request& request) { return request.ticket == ticket; }) > 0;
}

double waiting_queue::served(const account_id& account, time_point now) const {
    const auto found = m_served.find(account);
    if (found == m_served.end())
        return 0;
    const std::chrono::duration<double> elapsed = now - found->second.counted_at;
    const std::chrono::duration<double> time_constant = m_options.account_time_constant;
    return found->second.amount * std::exp(-elapsed.count() / time_constant.count());
}

void waiting_queue::record_slot(const account_id& account, time_point now) {
    m_served[account] = {served(account, now) + 1, now};
}

std::vector<waiting_ticket> waiting_queue::order(time_point now) {
    struct sort_key {
        int priority;
        bool is_late;
        double served;
        time_point latest_start;
        waiting_ticket ticket;
    };
    std::vector<sort_key> sort_keys;
    sort_keys.reserve(m_requests.size());
    for (const waiting_request& request : m_requests) {
        const bool is_late = now + request.min_processing > request.target_at;
        sort_keys.push_back(
            {request.priority, is_late, served(request.account, now), request.latest_start, request.ticket});
    }
    std::sort(sort_keys.begin(), sort_keys.end(), [](const sort_key& left, const sort_key& right) {
        return std::tie(left.priority, left.served, left.is_late, left.latest_start, left.ticket) <
               std::tie(right.priority, right.served, right.is_late, right.latest_start, right.ticket);
    });
    std::vector<waiting_ticket> tickets;
    tickets.reserve(sort_keys.size());
    for (const sort_key& key : sort_keys)
        tickets.push_back(key.ticket);
    return tickets;
}

std::size_t waiting_queue::count_ahead_of(int priority) const {
    return static_cast<std::size_t>(std::count_if(m_requests.begin(), m_requests.end(),
                                                  [&](const auto& request) { return request.priority <= priority; }));
}

} // namespace ragworthinge
