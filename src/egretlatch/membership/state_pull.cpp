#include <egretlatch/membership/state_pull.hpp>

#include <algorithm>

namespace egretlatch::membership
{

namespace internal
{

constexpr std::chrono::seconds pullInterval{30};
constexpr std::chrono::seconds fastPullInterval{3};
constexpr std::chrono::seconds pullBackInterval{10};
constexpr std::chrono::milliseconds pageInterval{200};
constexpr std::chrono::seconds replyTimeout{2};

} // namespace internal

StatePull::StatePull(RandomSource &random)
    : m_random{random}
{
}

bool StatePull::isDue(const SteadyTime now) const
{
    return !m_pull.has_value() && now >= m_nextPull;
}

bool StatePull::mayPullBack(const SteadyTime now) const
{
    return !m_pull.has_value() && now - m_lastBegin >= internal::pullBackInterval;
}

void StatePull::begin(const DaemonId &from, const SteadyTime now)
{
    m_pull = Pull{.from = from, .page = 0, .nextRequest = now, .requestedAt = std::nullopt};
    m_lastBegin = now;
}

std::optional<PullRequest> StatePull::tick(const SteadyTime now)
{
    if (!m_pull.has_value()) {
        return std::nullopt;
    }
    if (m_pull->requestedAt.has_value()) {
        if (now - *m_pull->requestedAt >= internal::replyTimeout) {
            end(now);
        }
        return std::nullopt;
    }
    if (now < m_pull->nextRequest) {
        return std::nullopt;
    }
    m_pull->requestedAt = now;
    return PullRequest{.from = m_pull->from, .page = m_pull->page};
}

void StatePull::handleReply(const DaemonId &from, const std::uint32_t page, const bool hasMore, const SteadyTime now)
{
    if (!m_pull.has_value() || m_pull->from != from || m_pull->page != page || !m_pull->requestedAt.has_value()) {
        return;
    }
    if (!hasMore) {
        end(now);
        return;
    }
    ++m_pull->page;
    m_pull->requestedAt.reset();
    m_pull->nextRequest = now + internal::pageInterval;
}

void StatePull::noteNewState() noexcept
{
    // A pull that returned new state is followed by another soon: in a fleet that starts all at once, each daemon knows only a
    // few.
    m_fastPullsLeft = std::max(m_fastPullsLeft, 1);
}

void StatePull::end(const SteadyTime now)
{
    m_pull.reset();
    const std::chrono::seconds interval = m_fastPullsLeft > 0 ? internal::fastPullInterval : internal::pullInterval;
    m_fastPullsLeft = std::max(m_fastPullsLeft - 1, 0);
    // Jitter between 0.5 and 1.5 of the interval, so that daemons that started together do not stay in lockstep.
    m_nextPull = now + std::chrono::duration_cast<Duration>(interval * (0.5 + m_random.fraction()));
}

} // namespace egretlatch::membership
