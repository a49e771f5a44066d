#ifndef EGRETLATCH_ADMISSION_STATIC_GATE_HPP
#define EGRETLATCH_ADMISSION_STATIC_GATE_HPP

#include <deque>
#include <set>

#include <egretlatch/admission/gate.hpp>

namespace egretlatch::admission
{

/*! @brief A baseline: as many runs at a time as there are slots, then a queue in order of arrival. */
class StaticGate final : public Gate
{
public:
    /**
     * @brief Builds a gate.
     * @param slots Number of slots.
     * @param queueCapacity Requests that may wait.
     */
    StaticGate(int slots, std::size_t queueCapacity);

    [[nodiscard]] GateRelease offer(const Ticket &ticket, SteadyTime now) override;
    [[nodiscard]] GateRelease finish(ExecutionId execution, const Observation &observation, SteadyTime now) override;
    [[nodiscard]] bool withdraw(ExecutionId execution) override;
    [[nodiscard]] GateRelease tick(SteadyTime now) override;
    void setSlots(int slots) override;
    void setQueueTarget(Duration target) override;
    [[nodiscard]] LoadReport load(SteadyTime now) const override;

private:
    void startWaiting(SteadyTime now, GateRelease &release);

    int m_slots;
    std::size_t m_queueCapacity;
    std::set<ExecutionId> m_running;
    std::deque<Ticket> m_waiting;
};

} // namespace egretlatch::admission

#endif
