#ifndef EGRETLATCH_DECISION_NAMED_LIMIT_HPP
#define EGRETLATCH_DECISION_NAMED_LIMIT_HPP

#include <optional>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/decision/server_notice.hpp>

namespace egretlatch::decision
{

/**
 * @brief Rate limit of the local backend server, as its answers name it.
 *
 * It holds until an answer without a limit shows that it has ended. Such an answer must belong to a run that started after
 * the limit was last named, as answers may overtake one another, and come some time later, as a server may leave the limit
 * out of single answers.
 */
class NamedLimit
{
public:
    /**
     * @brief Applies the notice in an answer.
     * @param notice The notice.
     * @param startedAt Start of the answered run.
     * @param now Current time.
     * @return True if the limit has changed.
     */
    bool noteAnswer(const ServerNotice &notice, SteadyTime startedAt, SteadyTime now);

    /*! @brief Removes the limit: another instance has replaced the server. */
    void reset();

    /*! @brief Returns the limit in requests per second; empty if there is none. */
    [[nodiscard]] std::optional<double> perSecond() const noexcept
    {
        return m_perSecond;
    }

    /*! @brief Time after the last answer that named the limit for which it holds in any case. */
    static constexpr std::chrono::seconds minHold{1};

private:
    std::optional<double> m_perSecond;
    SteadyTime m_namedAt;
};

} // namespace egretlatch::decision

#endif
