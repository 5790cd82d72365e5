#include "steering/host_rooms.h"

#include "membership/rendezvous_hash.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace ragworthinge {

namespace {

constexpr double bits_per_byte = 8;
constexpr double bits_per_megabit = 1e6;
/// A body crosses the link of the host twice, once from its sender and once to its receiver.
constexpr double crossings = 2;

/// A number above 0 and below 1 that is the same on all hosts.
double uniform_number(std::string_view caller, std::string_view host) {
    constexpr unsigned dropped_bits = 11;
    constexpr double scale = 1.0 / static_cast<double>(1ULL << (64 - dropped_bits));
    return (static_cast<double>(rendezvous_score(caller, host) >> dropped_bits) + 0.5) * scale;
}

/// Replaces the last of the first `count` ranked hosts by the first one of another failure domain if they all have one.
void spread_over_failure_domains(std::vector<std::size_t>& ranked, std::size_t count,
                                 std::span<const entry_host> hosts) {
    const auto is_elsewhere = [&](std::size_t index) {
        return hosts[index].failure_domain != hosts[ranked.front()].failure_domain;
    };
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(count);
    const auto other = std::find_if(ranked.begin(), ranked.end(), is_elsewhere);
    if (other != ranked.end() && other >= end)
        std::iter_swap(end - 1, other);
}

} // namespace

void host_rooms::record_bytes(std::size_t bytes) noexcept {
    m_mean_bytes += (static_cast<double>(bytes) - m_mean_bytes) / m_options.averaged_requests;
    const double mean = m_mean_bytes + m_options.head_bytes;
    const double used = m_body_bytes + m_options.head_bytes;
    if (mean > used * m_options.bytes_step || mean * m_options.bytes_step < used)
        m_body_bytes = m_mean_bytes;
}

std::vector<double> host_rooms::weights(std::span<const entry_host> hosts) const {
    const bool has_links =
        std::all_of(hosts.begin(), hosts.end(), [](const entry_host& host) { return host.link_mbps.has_value(); });
    const double processor_time = std::chrono::duration<double>(m_options.processor_time).count();
    const double megabits = crossings * (m_body_bytes + m_options.head_bytes) * bits_per_byte / bits_per_megabit;
    std::vector<double> weights;
    weights.reserve(hosts.size());
    for (const entry_host& host : hosts) {
        const double link_time = has_links ? megabits / *host.link_mbps : 0;
        weights.push_back(1 / (processor_time / host.capacity + link_time));
    }
    if (weights.empty())
        return weights;
    const auto [least, most] = std::minmax_element(weights.begin(), weights.end());
    if (*most <= *least * m_options.kind_step)
        std::fill(weights.begin(), weights.end(), double(*least));
    return weights;
}

std::vector<double> host_rooms::inclusion_probabilities(std::span<const double> weights, std::size_t count) {
    std::vector<double> probabilities(weights.size(), 0);
    for (bool has_new = true; has_new;) {
        double total = 0;
        std::size_t certain = 0;
        for (std::size_t index = 0; index < weights.size(); ++index) {
            if (probabilities[index] >= 1)
                ++certain;
            else
                total += weights[index];
        }
        has_new = false;
        const auto left = static_cast<double>(count - std::min(count, certain));
        for (std::size_t index = 0; index < weights.size(); ++index) {
            if (probabilities[index] >= 1)
                continue;
            probabilities[index] = std::min(1.0, left * weights[index] / total);
            has_new = has_new || probabilities[index] >= 1;
        }
    }
    return probabilities;
}

std::vector<entry_host> host_rooms::select(std::vector<entry_host> candidates, std::string_view caller) const {
    const std::vector<double> room = weights(candidates);
    if (candidates.size() <= m_options.min_hosts || std::equal(room.begin() + 1, room.end(), room.begin()))
        return candidates;
    // With more hosts in an answer, the largest host would be named in all answers and still get less than its share.
    const double total = std::accumulate(room.begin(), room.end(), 0.0);
    const double most = *std::max_element(room.begin(), room.end());
    const std::size_t count =
        std::clamp(static_cast<std::size_t>(total / most), m_options.min_hosts, candidates.size());
    const std::vector<double> probabilities = inclusion_probabilities(room, count);

    // Pareto sampling: the probabilities hold almost exactly, and each host's number depends on no other host.
    std::vector<double> rank(candidates.size());
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const double number = uniform_number(caller, candidates[index].name);
        rank[index] = number / (1 - number) * (1 - probabilities[index]) / probabilities[index];
    }
    std::vector<std::size_t> ranked(candidates.size());
    std::iota(ranked.begin(), ranked.end(), std::size_t(0));
    std::stable_sort(ranked.begin(), ranked.end(), [&](std::size_t a, std::size_t b) { return rank[a] < rank[b]; });
    spread_over_failure_domains(ranked, count, candidates);
    ranked.resize(count);
    std::sort(ranked.begin(), ranked.end());

    std::vector<entry_host> selected;
    selected.reserve(count);
    for (const std::size_t index : ranked)
        selected.push_back(std::move(candidates[index]));
    return selected;
}

} // namespace ragworthinge
