#include <load/load_result.hpp>

#include <algorithm>

namespace standin::load
{

void LoadResult::add(const LoadResult &other)
{
    kinds.resize(std::max(kinds.size(), other.kinds.size()));
    for (std::size_t index = 0; index < other.kinds.size(); ++index) {
        kinds[index].add(other.kinds[index]);
    }
    attemptsBySecond.add(other.attemptsBySecond);
    for (const auto &[cause, counts] : other.causesBySecond) {
        causesBySecond[cause].add(counts);
    }
    sendLag.add(other.sendLag);
    skippedRequests += other.skippedRequests;
}

} // namespace standin::load
