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

/*! @brief A request that waits for a slot. */
struct Waiting
{
    Ticket ticket;
    /*! @brief Time that its run is expected to hold a slot. */
    Duration expected{};
};

/**
 * @brief The requests that wait for a slot, in order of their value.
 *
 * The order is: class of the root, then work invested, so that an inner call goes before a new root of its class, then
 * time of arrival.
 */
class AdmissionQueue
{
public:
    /**
     * @brief Adds a request.
     * @param waiting The request.
     */
    void push(Waiting waiting);

    /**
     * @brief Takes the most valuable request.
     * @param newestFirst Whether the newest of the equals goes first.
     * @return The request; the line must not be empty.
     */
    [[nodiscard]] Waiting popBest(bool newestFirst);

    /**
     * @brief Gives the least valuable request, the oldest of the equals.
     * @return The request; the line must not be empty.
     */
    [[nodiscard]] const Waiting &worst() const;

    /**
     * @brief Gives the least valuable request that no other service's run makes, the oldest of the equals.
     * @return The request, or null if all are inner calls.
     */
    [[nodiscard]] const Waiting *worstRoot() const;

    /**
     * @brief Gives the slot time that is expected to go by before a request's group has been served.
     * @param ticket A request of the line.
     * @return The sum over its group and all more valuable ones.
     */
    [[nodiscard]] Duration workUpTo(const Ticket &ticket) const;

    /**
     * @brief Takes a request out.
     * @param execution The request.
     * @return True if it was in the line.
     */
    bool remove(ExecutionId execution);

    /**
     * @brief Takes out every request that a rule picks.
     * @param rule Called with each request; true takes it out.
     * @return The requests taken out, the most valuable first.
     */
    template<typename Rule>
    [[nodiscard]] std::vector<Waiting> removeIf(Rule rule);

    [[nodiscard]] bool empty() const noexcept
    {
        return m_places.empty();
    }

    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_places.size();
    }

    /**
     * @brief Gives the slot time that the line is expected to take.
     * @return The sum over all requests.
     */
    [[nodiscard]] Duration work() const noexcept
    {
        return m_work;
    }

    /**
     * @brief Gives the slot time that the requests of higher classes are expected to take.
     * @param rankClass The class.
     * @return The sum over all requests above the class.
     */
    [[nodiscard]] Duration workAbove(const RankClass &rankClass) const;

    /**
     * @brief Gives the time at which the request that waits longest came.
     * @param now Returned for an empty line.
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

    using Queue = std::list<Waiting>;
    using Groups = std::map<Group, Queue, std::greater<>>;

    struct Place
    {
        Group group;
        Queue::iterator position;
    };

    [[nodiscard]] static Group groupOf(const Ticket &ticket);
    [[nodiscard]] Waiting take(Groups::iterator group, Queue::iterator position);

    Groups m_groups;
    std::map<ExecutionId, Place> m_places;
    Duration m_work{};
};

template<typename Rule>
std::vector<Waiting> AdmissionQueue::removeIf(Rule rule)
{
    std::vector<Waiting> removed;
    for (auto group = m_groups.begin(); group != m_groups.end();) {
        const auto nextGroup = std::next(group);
        Queue &queue = group->second;
        for (auto position = queue.begin(); position != queue.end();) {
            const auto nextPosition = std::next(position);
            const bool isLast = queue.size() == 1;
            if (rule(*position)) {
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
