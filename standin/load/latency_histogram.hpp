#ifndef STANDIN_LOAD_LATENCY_HISTOGRAM_HPP
#define STANDIN_LOAD_LATENCY_HISTOGRAM_HPP

#include <cstdint>
#include <vector>

#include <egretlatch/core/clock.hpp>

namespace standin::load
{

/**
 * @brief Log-linear histogram of durations that can be merged with another one.
 *
 * Each power of two of microseconds is divided into 32 buckets, so a quantile is at most 1/32 above the exact value.
 */
class LatencyHistogram
{
public:
    /**
     * @brief Records a duration.
     * @param duration The duration; a negative one is recorded as zero.
     */
    void add(egretlatch::Duration duration);

    /**
     * @brief Adds all durations recorded in another histogram.
     * @param other Histogram to add.
     */
    void add(const LatencyHistogram &other);

    /**
     * @brief Returns a quantile.
     * @param fraction Fraction of the recorded durations that are not longer, from 0 to 1.
     * @return Upper bound of the bucket, limited to the longest recorded duration; zero if the histogram is empty.
     */
    [[nodiscard]] egretlatch::Duration quantile(double fraction) const;

    /*! @brief Returns the number of recorded durations. */
    [[nodiscard]] std::uint64_t count() const noexcept
    {
        return m_count;
    }

    /*! @brief Returns the longest recorded duration; zero if the histogram is empty. */
    [[nodiscard]] egretlatch::Duration max() const noexcept
    {
        return m_max;
    }

private:
    std::vector<std::uint64_t> m_buckets;
    std::uint64_t m_count{};
    egretlatch::Duration m_max{};
};

} // namespace standin::load

#endif
