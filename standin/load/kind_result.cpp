#include <load/kind_result.hpp>

#include <algorithm>

namespace standin::load
{

void SecondCounts::add(const std::int64_t second)
{
    const auto index = static_cast<std::size_t>(std::max<std::int64_t>(second, 0));
    if (index >= m_counts.size()) {
        m_counts.resize(index + 1);
    }
    ++m_counts[index];
}

void SecondCounts::add(const SecondCounts &other)
{
    m_counts.resize(std::max(m_counts.size(), other.m_counts.size()));
    for (std::size_t second = 0; second < other.m_counts.size(); ++second) {
        m_counts[second] += other.m_counts[second];
    }
}

std::uint64_t SecondCounts::at(const std::size_t second) const
{
    return second < m_counts.size() ? m_counts[second] : 0;
}

void KindResult::add(const KindResult &other)
{
    sent += other.sent;
    attempts += other.attempts;
    for (const auto &[outcomeClass, causes] : other.requests) {
        for (const auto &[cause, count] : causes) {
            requests[outcomeClass][cause] += count;
        }
    }
    for (const auto &[cause, count] : other.attemptCauses) {
        attemptCauses[cause] += count;
    }
    latency.add(other.latency);
    sentBySecond.add(other.sentBySecond);
    completedBySecond.add(other.completedBySecond);
}

std::uint64_t KindResult::countOf(const OutcomeClass outcomeClass) const
{
    const auto found = requests.find(outcomeClass);
    std::uint64_t sum = 0;
    if (found != requests.end()) {
        for (const auto &[cause, count] : found->second) {
            sum += count;
        }
    }
    return sum;
}

} // namespace standin::load
