#ifndef EGRETLATCH_ADMISSION_PRIORITY_GATE_HPP
#define EGRETLATCH_ADMISSION_PRIORITY_GATE_HPP

#include <deque>
#include <functional>
#include <map>
#include <set>

#include <egretlatch/admission/gate.hpp>

namespace egretlatch::admission
{

/*! @brief A baseline: a static limit, then a queue by priority of the root, in order of arrival within a priority. */
class PriorityGate final : public Gate
{
public:
    /**
     * @brief Builds a gate.
     * @param slots Number of slots.
     * @param queueCapacity Requests that may wait; beyond it the latest of the lowest priority is refused.
     */
    PriorityGate(int slots, std::size_t queueCapacity);

    [[nodiscard]] GateRelease offer(const Ticket &ticket, SteadyTime now) override;
    [[nodiscard]] GateRelease finish(ExecutionId execution, const Observation &observation, SteadyTime now) override;
    [[nodiscard]] bool withdraw(ExecutionId execution) override;
    [[nodiscard]] GateRelease tick(SteadyTime now) override;
    void setSlots(int slots) override;
    void setQueueTarget(Duration target) override;
    [[nodiscard]] LoadReport load(SteadyTime now) const override;

private:
    void startWaiting(SteadyTime now, GateRelease &release);
    void refuseLowest(GateRelease &release);

    int m_slots;
    std::size_t m_queueCapacity;
    std::size_t m_queued{};
    std::set<ExecutionId> m_running;
    std::map<int, std::deque<Ticket>, std::greater<>> m_waiting;
};

} // namespace egretlatch::admission

#endif
