#ifndef EGRETLATCH_MEMBERSHIP_UPDATE_QUEUE_HPP
#define EGRETLATCH_MEMBERSHIP_UPDATE_QUEUE_HPP

#include <map>
#include <variant>
#include <vector>

#include <egretlatch/core/ids.hpp>
#include <egretlatch/membership/rumour.hpp>

namespace egretlatch::membership
{

/*! @brief What news is about; what it says is looked up when it is sent, so that it is never out of date. */
using UpdateSubject = std::variant<DaemonId, RumourKey>;

/**
 * @brief The news that this daemon still has to pass on, each a bounded number of times.
 *
 * What has been sent least goes first, so that a flood of news delays itself and not the newest.
 */
class UpdateQueue
{
public:
    /**
     * @brief Queues news, from the start if it was queued already.
     * @param subject What it is about.
     * @param sends How often it is to be sent.
     */
    void add(const UpdateSubject &subject, int sends);

    /**
     * @brief Chooses news for one message and counts it as sent.
     * @param limit Most subjects to choose.
     * @return The subjects, those sent least first.
     */
    [[nodiscard]] std::vector<UpdateSubject> take(std::size_t limit);

    [[nodiscard]] bool isEmpty() const noexcept
    {
        return m_sendsLeft.empty();
    }

private:
    std::map<UpdateSubject, int> m_sendsLeft;
};

} // namespace egretlatch::membership

#endif
