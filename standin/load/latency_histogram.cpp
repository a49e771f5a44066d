#include <load/latency_histogram.hpp>

#include <algorithm>
#include <bit>
#include <cmath>

namespace standin::load
{

namespace internal
{

constexpr std::uint64_t subBuckets = 32;
constexpr int subBucketBits = 5;

[[nodiscard]] static std::size_t bucketIndex(const std::uint64_t microseconds)
{
    if (microseconds < subBuckets) {
        return microseconds;
    }
    const int shift = static_cast<int>(std::bit_width(microseconds)) - 1 - subBucketBits;
    return (static_cast<std::uint64_t>(shift) + 1) * subBuckets + ((microseconds >> shift) - subBuckets);
}

[[nodiscard]] static std::uint64_t bucketUpperBound(const std::size_t bucket)
{
    if (bucket < subBuckets) {
        return bucket + 1;
    }
    const std::uint64_t shift = bucket / subBuckets - 1;
    return (subBuckets + bucket % subBuckets + 1) << shift;
}

} // namespace internal

void LatencyHistogram::add(const egretlatch::Duration duration)
{
    const egretlatch::Duration clamped = std::max(duration, egretlatch::Duration::zero());
    const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(clamped).count();
    const std::size_t bucket = internal::bucketIndex(static_cast<std::uint64_t>(microseconds));
    if (bucket >= m_buckets.size()) {
        m_buckets.resize(bucket + 1);
    }
    ++m_buckets[bucket];
    ++m_count;
    m_max = std::max(m_max, clamped);
}

void LatencyHistogram::add(const LatencyHistogram &other)
{
    m_buckets.resize(std::max(m_buckets.size(), other.m_buckets.size()));
    for (std::size_t bucket = 0; bucket < other.m_buckets.size(); ++bucket) {
        m_buckets[bucket] += other.m_buckets[bucket];
    }
    m_count += other.m_count;
    m_max = std::max(m_max, other.m_max);
}

egretlatch::Duration LatencyHistogram::quantile(const double fraction) const
{
    const auto rank = static_cast<std::uint64_t>(std::ceil(fraction * static_cast<double>(m_count)));
    std::uint64_t cumulative = 0;
    for (std::size_t bucket = 0; bucket < m_buckets.size(); ++bucket) {
        cumulative += m_buckets[bucket];
        if (cumulative > 0 && cumulative >= rank) {
            const egretlatch::Duration end = std::chrono::microseconds{internal::bucketUpperBound(bucket)};
            return std::min(end, m_max);
        }
    }
    return {};
}

} // namespace standin::load
