#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <array>
#include <cstdint>

namespace ragworthinge {

/// Quantiles estimated for each latency series.
inline constexpr std::array latency_quantiles{0.5, 0.9, 0.99, 0.999};

/// Estimates quantiles of observed values in constant memory with the P-square algorithm.
class latency_window {
public:
    latency_window();

    void observe(double seconds);

    std::uint64_t count() const noexcept { return m_count; }

    /// Estimate for `latency_quantiles[index]`, in seconds; zero before the first observation.
    double quantile(std::size_t index) const;

private:
    using estimator =
        boost::accumulators::accumulator_set<double,
                                             boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>;

    std::uint64_t m_count = 0;
    std::array<double, 5> m_first_values{}; ///< The estimators are unusable until they have seen five values.
    std::array<estimator, latency_quantiles.size()> m_estimators;
};

} // namespace ragworthinge
