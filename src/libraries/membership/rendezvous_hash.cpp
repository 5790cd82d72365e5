#include "membership/rendezvous_hash.h"

#include <algorithm>
#include <utility>

namespace ragworthinge {

namespace {

constexpr std::uint64_t fnv_offset = 0xcbf29ce484222325ULL;
constexpr std::uint64_t fnv_prime = 0x100000001b3ULL;

std::uint64_t fnv1a(std::uint64_t state, std::string_view bytes) noexcept {
    for (const char byte : bytes) {
        state ^= static_cast<unsigned char>(byte);
        state *= fnv_prime;
    }
    return state;
}

// Finaliser of SplitMix64. FNV-1a alone leaves the high bits of short names correlated, which skews the ranking.
std::uint64_t mix(std::uint64_t state) noexcept {
    state ^= state >> 30U;
    state *= 0xbf58476d1ce4e5b9ULL;
    state ^= state >> 27U;
    state *= 0x94d049bb133111ebULL;
    return state ^ (state >> 31U);
}

} // namespace

std::uint64_t rendezvous_score(std::string_view key, std::string_view host) noexcept {
    const std::uint64_t key_hash = mix(fnv1a(fnv_offset, key));
    return mix(fnv1a(key_hash, host));
}

std::vector<host_id> rank_hosts(std::string_view key, std::vector<host_id> hosts) {
    std::vector<std::pair<std::uint64_t, host_id>> scored;
    scored.reserve(hosts.size());
    for (host_id& host : hosts) {
        const std::uint64_t score = rendezvous_score(key, host);
        scored.emplace_back(score, std::move(host));
    }
    std::sort(scored.begin(), scored.end(), [](const auto& left, const auto& right) {
        return left.first != right.first ? left.first > right.first : left.second < right.second;
    });

    std::vector<host_id> ranked;
    ranked.reserve(scored.size());
    for (auto& [score, host] : scored)
        ranked.push_back(std::move(host));
    return ranked;
}

std::optional<host_id> highest_ranked_host(std::string_view key, std::span<const host_id> hosts) {
    const host_id* best = nullptr;
    std::uint64_t best_score = 0;
    for (const host_id& host : hosts) {
        const std::uint64_t score = rendezvous_score(key, host);
        const bool better = best == nullptr || score > best_score || (score == best_score && host < *best);
        if (!better)
            continue;
        best = &host;
        best_score = score;
    }
    if (best == nullptr)
        return std::nullopt;
    return *best;
}

std::string dispatcher_key(const service_id& service, const region_id& region) {
    return "dispatcher/" + region + "/" + service;
}

} // namespace ragworthinge
