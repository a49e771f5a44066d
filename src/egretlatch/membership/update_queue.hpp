#ifndef EGRETLATCH_MEMBERSHIP_UPDATE_QUEUE_HPP
#define EGRETLATCH_MEMBERSHIP_UPDATE_QUEUE_HPP

#include <map>
#include <variant>
#include <vector>

#include <egretlatch/core/ids.hpp>
#include <egretlatch/membership/rumour.hpp>

namespace egretlatch::membership
{

/*! @brief Subject of an update; its content is looked up when it is sent, so that it is never out of date. */
using UpdateSubject = std::variant<DaemonId, RumourKey>;

/**
 * @brief Queue of updates to disseminate, each a bounded number of times.
 *
 * Updates that have been sent least go first, so that a burst of updates delays its own repeats and not new updates.
 */
class UpdateQueue
{
public:
    /**
     * @brief Queues an update; resets the count if it is already queued.
     * @param subject Subject of the update.
     * @param sends Number of messages that it is sent with.
     */
    void add(const UpdateSubject &subject, int sends);

    /**
     * @brief Selects updates for one message and counts them as sent.
     * @param limit Maximum number of subjects.
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
