#include <egretlatch/decision/named_limit.hpp>

namespace egretlatch::decision
{

bool NamedLimit::noteAnswer(const ServerNotice &notice, const SteadyTime startedAt, const SteadyTime now)
{
    if (notice.requestsPerSecond.has_value()) {
        const bool hasChanged = m_perSecond != notice.requestsPerSecond;
        m_perSecond = notice.requestsPerSecond;
        m_namedAt = now;
        return hasChanged;
    }
    // A limit that cannot be read says that there is one, so it ends none.
    const bool isLate = startedAt <= m_namedAt || now - m_namedAt < minHold;
    if (!m_perSecond.has_value() || notice.hasUnreadableLimit || isLate) {
        return false;
    }
    reset();
    return true;
}

void NamedLimit::reset()
{
    m_perSecond.reset();
}

} // namespace egretlatch::decision
