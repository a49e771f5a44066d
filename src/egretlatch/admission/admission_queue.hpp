#ifndef EGRETLATCH_ADMISSION_ADMISSION_QUEUE_HPP
#define EGRETLATCH_ADMISSION_ADMISSION_QUEUE_HPP

#include <compare>
#include <cstddef>
#include <list>
#include <map>
#include <vector>

#include <egretlatch/admission/gate.hpp>

namespace egretlatch::admission
{

/*! @brief Request that waits for a slot, with its expected run time. */
struct QueuedRequest
{
    Ticket ticket;
    /*! @brief Expected time that its run holds a slot. */
    Duration expected{};
};

/**
 * @brief Priority queue of the requests that wait for a slot.
 *
 * Ordered by the class of the root, then by invested slot time, so that an inner call precedes a new root of its class,
 * then by time of arrival.
 */
class AdmissionQueue
{
public:
    /**
     * @brief Adds a request.
     * @param waiting The request.
     */
    void push(QueuedRequest waiting);

    /**
     * @brief Removes and returns the most valuable request.
     * @param isNewestFirst Selects the newest of equally valuable requests; false selects the oldest.
     * @return The request; the queue must not be empty.
     */
    [[nodiscard]] QueuedRequest popMostValuable(bool isNewestFirst);

    /**
     * @brief Returns the least valuable request, the oldest among equals.
     * @return The request; the queue must not be empty.
     */
    [[nodiscard]] const QueuedRequest &leastValuable() const;

    /**
     * @brief Returns the least valuable root, that is a request that is not an inner call; the oldest among equals.
     * @return The request, or null if all are inner calls.
     */
    [[nodiscard]] const QueuedRequest *leastValuableRoot() const;

    /**
     * @brief Returns the slot time that is expected to be used until a request's group has been served.
     * @param ticket A request in the queue.
     * @return The sum over its group and all more valuable ones.
     */
    [[nodiscard]] Duration workUpTo(const Ticket &ticket) const;

    /**
     * @brief Removes a request.
     * @param execution The request.
     * @return True if it was queued.
     */
    bool remove(ExecutionId execution);

    /**
     * @brief Removes every request that satisfies a predicate.
     * @param predicate Called with each request; true removes it.
     * @return The removed requests, the most valuable first.
     */
    template<typename Predicate>
    [[nodiscard]] std::vector<QueuedRequest> removeIf(Predicate predicate);

    [[nodiscard]] bool empty() const noexcept
    {
        return m_locations.empty();
    }

    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_locations.size();
    }

    /**
     * @brief Returns the slot time that the queued requests are expected to take.
     * @return The sum over all requests.
     */
    [[nodiscard]] Duration work() const noexcept
    {
        return m_work;
    }

    /**
     * @brief Returns the slot time that requests of higher classes are expected to take.
     * @param rankClass The class.
     * @return The sum over all requests above the class.
     */
    [[nodiscard]] Duration workAbove(const RankClass &rankClass) const;

    /**
     * @brief Returns the arrival time of the request that has waited longest.
     * @param now Returned for an empty queue.
     * @return The time.
     */
    [[nodiscard]] SteadyTime oldestArrival(SteadyTime now) const;

private:
    struct Group
    {
        RankClass rankClass;
        int invested{};

        friend auto operator<=>(const Group &, const Group &) = default;
    };

    using Queue = std::list<QueuedRequest>;
    using Groups = std::map<Group, Queue, std::greater<>>;

    struct Location
    {
        Group group;
        Queue::iterator position;
    };

    [[nodiscard]] static Group groupOf(const Ticket &ticket);
    [[nodiscard]] QueuedRequest take(Groups::iterator group, Queue::iterator position);

    Groups m_groups;
    std::map<ExecutionId, Location> m_locations;
    Duration m_work{};
};

template<typename Predicate>
std::vector<QueuedRequest> AdmissionQueue::removeIf(Predicate predicate)
{
    std::vector<QueuedRequest> removed;
    for (auto group = m_groups.begin(); group != m_groups.end();) {
        const auto nextGroup = std::next(group);
        Queue &queue = group->second;
        for (auto position = queue.begin(); position != queue.end();) {
            const auto nextPosition = std::next(position);
            const bool isLast = queue.size() == 1;
            if (predicate(*position)) {
                removed.push_back(take(group, position));
                if (isLast) {
                    break;
                }
            }
            position = nextPosition;
        }
        group = nextGroup;
    }
    return removed;
}

} // namespace egretlatch::admission

#endif
