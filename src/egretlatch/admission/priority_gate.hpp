#ifndef EGRETLATCH_ADMISSION_PRIORITY_GATE_HPP
#define EGRETLATCH_ADMISSION_PRIORITY_GATE_HPP

#include <deque>
#include <functional>
#include <map>

#include <egretlatch/admission/slot_gate.hpp>

namespace egretlatch::admission
{

/*! @brief Baseline with a static limit and a queue ordered by priority of the root, then by arrival. */
class PriorityGate final : public SlotGate
{
public:
    /**
     * @brief Creates a gate.
     * @param slots Number of slots.
     * @param queueCapacity Maximum number of queued requests; beyond it, the latest request of the lowest priority is
     * refused.
     */
    PriorityGate(int slots, std::size_t queueCapacity);

    [[nodiscard]] GateRelease offer(const Ticket &ticket, SteadyTime now) override;
    [[nodiscard]] bool withdraw(ExecutionId execution) override;

private:
    /*! @brief Queues by priority, the highest first; none of them is empty. */
    using Queues = std::map<int, std::deque<Ticket>, std::greater<>>;

    [[nodiscard]] const Ticket *next() const override;
    void dropNext() override;
    [[nodiscard]] std::size_t queued() const override;
    void refuseLowest(GateRelease &release);
    void eraseIfEmpty(Queues::iterator queue);

    std::size_t m_queueCapacity;
    std::size_t m_queued{};
    Queues m_waiting;
};

} // namespace egretlatch::admission

#endif
