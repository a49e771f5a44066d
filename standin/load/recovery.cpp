#include <load/recovery.hpp>

#include <algorithm>
#include <numeric>

namespace standin::load
{

namespace internal
{

constexpr int warmUpSeconds = 2;
constexpr int steadySeconds = 3;
constexpr double steadyShare = 0.95;

} // namespace internal

Recovery findRecovery(const std::vector<double> &goodput, const OverloadSpan &overload)
{
    Recovery recovery;
    if (overload.toSecond <= overload.fromSecond || overload.fromSecond <= internal::warmUpSeconds || overload.fromSecond > std::ssize(goodput)) {
        return recovery;
    }
    const auto first = goodput.begin() + internal::warmUpSeconds;
    const auto last = goodput.begin() + overload.fromSecond;
    recovery.baselineGoodput = std::accumulate(first, last, 0.0) / static_cast<double>(last - first);
    const double threshold = recovery.baselineGoodput * internal::steadyShare;
    for (int second = overload.toSecond; second + internal::steadySeconds <= std::ssize(goodput); ++second) {
        const auto from = goodput.begin() + second;
        const bool isSteady = std::all_of(from, from + internal::steadySeconds, [threshold](const double value) {
            return value >= threshold;
        });
        if (isSteady) {
            recovery.seconds = second - overload.toSecond;
            return recovery;
        }
    }
    return recovery;
}

} // namespace standin::load
