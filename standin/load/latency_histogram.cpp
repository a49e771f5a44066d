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

[[nodiscard]] static std::size_t bucketOf(const std::uint64_t microseconds)
{
    if (microseconds < subBuckets) {
        return microseconds;
    }
    const int shift = static_cast<int>(std::bit_width(microseconds)) - 1 - subBucketBits;
    return (static_cast<std::uint64_t>(shift) + 1) * subBuckets + ((microseconds >> shift) - subBuckets);
}

[[nodiscard]] static std::uint64_t upperEnd(const std::size_t bucket)
{
    if (bucket < subBuckets) {
        return bucket + 1;
    }
    const std::uint64_t shift = bucket / subBuckets - 1;
    return (subBuckets + bucket % subBuckets + 1) << shift;
}

} // namespace internal

void LatencyHistogram::add(const egretlatch::Duration span)
{
    const egretlatch::Duration counted = std::max(span, egretlatch::Duration::zero());
    const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(counted).count();
    const std::size_t bucket = internal::bucketOf(static_cast<std::uint64_t>(microseconds));
    if (bucket >= m_buckets.size()) {
        m_buckets.resize(bucket + 1);
    }
    ++m_buckets[bucket];
    ++m_count;
    m_longest = std::max(m_longest, counted);
}

void LatencyHistogram::add(const LatencyHistogram &other)
{
    m_buckets.resize(std::max(m_buckets.size(), other.m_buckets.size()));
    for (std::size_t bucket = 0; bucket < other.m_buckets.size(); ++bucket) {
        m_buckets[bucket] += other.m_buckets[bucket];
    }
    m_count += other.m_count;
    m_longest = std::max(m_longest, other.m_longest);
}

egretlatch::Duration LatencyHistogram::quantile(const double fraction) const
{
    const auto wanted = static_cast<std::uint64_t>(std::ceil(fraction * static_cast<double>(m_count)));
    std::uint64_t seen = 0;
    for (std::size_t bucket = 0; bucket < m_buckets.size(); ++bucket) {
        seen += m_buckets[bucket];
        if (seen > 0 && seen >= wanted) {
            const egretlatch::Duration end = std::chrono::microseconds{internal::upperEnd(bucket)};
            return std::min(end, m_longest);
        }
    }
    return {};
}

} // namespace standin::load
