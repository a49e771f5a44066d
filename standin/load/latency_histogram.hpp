#ifndef STANDIN_LOAD_LATENCY_HISTOGRAM_HPP
#define STANDIN_LOAD_LATENCY_HISTOGRAM_HPP

#include <cstdint>
#include <vector>

#include <egretlatch/core/clock.hpp>

namespace standin::load
{

/**
 * @brief Counts spans of time in buckets that grow with the span; two histograms can be added.
 *
 * Each power of two of microseconds has 32 buckets, so a quantile is at most 1/32 above the true value.
 */
class LatencyHistogram
{
public:
    /**
     * @brief Adds a span.
     * @param span The span; a negative one counts as zero.
     */
    void add(egretlatch::Duration duration);

    /**
     * @brief Adds all spans of another histogram.
     * @param other The other histogram.
     */
    void add(const LatencyHistogram &other);

    /**
     * @brief Gives a quantile.
     * @param fraction Part of the spans that are not longer, from 0 to 1.
     * @return Upper end of the bucket, but not above the longest span; zero without spans.
     */
    [[nodiscard]] egretlatch::Duration quantile(double fraction) const;

    [[nodiscard]] std::uint64_t count() const noexcept
    {
        return m_count;
    }

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
