#include "escrow/allocation_policy.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace ragworthinge {

namespace {

/// Part of `total` that corresponds to `value` of `sum`, rounded down.
units portion(units total, double value, double sum) {
    if (sum <= 0 || total <= 0)
        return 0;
    // The factor below one absorbs the rounding of the division, so that the portions never add up to more than total.
    return static_cast<units>(std::floor(static_cast<double>(total) * (value / sum) * (1 - 1e-12)));
}

/// Water filling: raises all parties in proportion to their weights until each is satisfied or the total is used up.
std::vector<double> max_min(double total, const std::vector<double>& wanted,
                            const std::vector<allocation_claim>& claims) {
    std::vector<std::size_t> order(wanted.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::ranges::sort(order, {}, [&](std::size_t index) { return wanted[index] / claims[index].weight; });
    double weights = 0;
    for (const allocation_claim& claim : claims)
        weights += claim.weight;
    std::vector<double> given(wanted.size());
    for (const std::size_t index : order) {
        const double fair = total * claims[index].weight / weights;
        given[index] = std::min(wanted[index], fair);
        total -= given[index];
        weights -= claims[index].weight;
    }
    return given;
}

amount sum_of(const std::vector<amount>& values) {
    return std::accumulate(values.begin(), values.end(), amount{});
}

} // namespace

std::vector<amount> allocation_policy::targets(budget_kind kind, const amount& total,
                                               const std::vector<allocation_claim>& claims) const {
    if (claims.empty())
        return {};
    if (!is_returned_after_use(kind))
        return steady_targets(total, claims, fair_targets(total, claims));

    std::vector<double> wanted;
    wanted.reserve(claims.size());
    for (const allocation_claim& claim : claims)
        wanted.push_back(static_cast<double>(std::max<units>(0, claim.demand)));
    std::vector<amount> result(claims.size());
    const double all_wanted = std::accumulate(wanted.begin(), wanted.end(), 0.0);
    if (all_wanted <= 0) {
        units left = total.burst;
        for (std::size_t index = 0; index < claims.size(); ++index) {
            result[index].burst = std::min(left, claims[index].current.burst);
            left -= result[index].burst;
        }
        return result;
    }
    const std::vector<double> given = max_min(static_cast<double>(total.burst), wanted, claims);
    const double all_given = std::accumulate(given.begin(), given.end(), 0.0);
    units left = total.burst / one_unit;
    for (std::size_t index = 0; index < claims.size(); ++index) {
        const units whole = portion(total.burst / one_unit, given[index], all_given);
        result[index].burst = whole * one_unit;
        left -= whole;
    }
    // Rounding leaves fewer units than there are parties; the largest demand gets them.
    const auto largest = static_cast<std::size_t>(std::ranges::max_element(wanted) - wanted.begin());
    result[largest].burst += left * one_unit;
    return result;
}

amount allocation_policy::pool(budget_kind kind, const amount& total, std::size_t parties) const {
    const bool disabled = m_options.pool_part <= 0 && m_options.pool_burst <= 0;
    if (disabled || is_returned_after_use(kind) || total.burst <= 0)
        return {};
    const double wanted = static_cast<double>(m_options.pool_burst) * static_cast<double>(parties);
    const double part = std::clamp(wanted / static_cast<double>(total.burst), m_options.pool_part, 1.0);
    // A party that holds less than two units cannot spend most of what it holds.
    const double divided_burst = static_cast<double>(total.burst) * std::max(1 - part, 0.5);
    if (divided_burst < 2.0 * one_unit * static_cast<double>(parties))
        return total;
    return {.rate = static_cast<units>(part * static_cast<double>(total.rate)),
            .burst = static_cast<units>(std::min(part, 0.5) * static_cast<double>(total.burst))};
}

std::vector<amount> allocation_policy::fair_targets(const amount& total,
                                                    const std::vector<allocation_claim>& claims) const {
    const auto count = static_cast<double>(claims.size());
    const units smallest_burst =
        std::min(m_options.smallest_burst, total.burst / 2 / static_cast<units>(claims.size()));
    std::vector<amount> floors;
    for (const allocation_claim& claim : claims) {
        const amount reserve{
            .rate = static_cast<units>(m_options.reserve * static_cast<double>(total.rate) / count),
            .burst = std::max(smallest_burst,
                              static_cast<units>(m_options.reserve * static_cast<double>(total.burst) / count))};
        floors.push_back(higher_of(claim.minimum, reserve));
    }
    if (!fits(sum_of(floors), total))
        floors.assign(claims.size(), {.rate = std::max<units>(0, total.rate) / static_cast<units>(claims.size()),
                                      .burst = std::max<units>(0, total.burst) / static_cast<units>(claims.size())});
    const amount floor_sum = sum_of(floors);

    std::vector<double> wanted;
    for (std::size_t index = 0; index < claims.size(); ++index)
        wanted.push_back(static_cast<double>(std::max<units>(0, claims[index].demand - floors[index].rate)));
    const std::vector<double> given = max_min(static_cast<double>(total.rate - floor_sum.rate), wanted, claims);

    std::vector<double> scale;
    for (std::size_t index = 0; index < claims.size(); ++index)
        scale.push_back(given[index] + static_cast<double>(floors[index].rate));
    // A budget of tokens without refill, such as a closed shift cap, is divided equally.
    double scale_sum = std::accumulate(scale.begin(), scale.end(), 0.0);
    if (scale_sum <= 0) {
        scale.assign(claims.size(), 1);
        scale_sum = count;
    }
    // The deviation of a Poisson count grows with the square root of the rate, so small parties need relatively more
    // burst than rate. Half of the burst follows the rate to keep what a jump of the demand needs.
    std::vector<double> roots;
    roots.reserve(scale.size());
    for (const double value : scale)
        roots.push_back(std::sqrt(value));
    const double root_sum = std::accumulate(roots.begin(), roots.end(), 0.0);
    const units free_burst = total.burst - floor_sum.burst;
    const double given_sum = std::accumulate(given.begin(), given.end(), 0.0);
    const auto spare_rate = static_cast<units>(static_cast<double>(total.rate - floor_sum.rate) - given_sum);
    std::vector<amount> result;
    for (std::size_t index = 0; index < claims.size(); ++index)
        result.push_back({.rate = floors[index].rate + static_cast<units>(std::floor(given[index] * (1 - 1e-12))) +
                                  portion(spare_rate, scale[index], scale_sum),
                          .burst = floors[index].burst + portion(free_burst / 2, scale[index], scale_sum) +
                                   portion(free_burst / 2, roots[index], root_sum)});
    return result;
}

std::vector<amount> allocation_policy::steady_targets(const amount& total, const std::vector<allocation_claim>& claims,
                                                      std::vector<amount> fair) const {
    amount kept;
    amount changing;
    for (std::size_t index = 0; index < claims.size(); ++index)
        (is_near(claims[index], fair[index]) ? kept : changing) +=
            is_near(claims[index], fair[index]) ? claims[index].current : fair[index];
    const amount sum = kept + changing;
    const double used = static_cast<double>(sum.rate) / static_cast<double>(std::max<units>(1, total.rate));
    if (!fits(sum, total) || used < 1 - m_options.idle_part)
        return fair;
    for (std::size_t index = 0; index < claims.size(); ++index)
        if (is_near(claims[index], fair[index]))
            fair[index] = claims[index].current;
    return fair;
}

bool allocation_policy::is_near(const allocation_claim& claim, const amount& target) const {
    const auto near = [&](units current, units wanted) {
        return std::abs(static_cast<double>(wanted - current)) <= m_options.hysteresis * static_cast<double>(wanted);
    };
    return fits(claim.minimum, claim.current) && near(claim.current.rate, target.rate) &&
           near(claim.current.burst, target.burst);
}

} // namespace ragworthinge
