#ifndef EGRETLATCH_ADMISSION_OPEN_GATE_HPP
#define EGRETLATCH_ADMISSION_OPEN_GATE_HPP

#include <set>

#include <egretlatch/admission/gate.hpp>

namespace egretlatch::admission
{

/*! @brief Baseline without a limit: starts every request at once, regardless of slots and remaining time. */
class OpenGate final : public Gate
{
public:
    [[nodiscard]] GateRelease offer(const Ticket &ticket, SteadyTime now) override;
    [[nodiscard]] GateRelease finish(ExecutionId execution, const Observation &observation, SteadyTime now) override;
    [[nodiscard]] bool withdraw(ExecutionId execution) override;
    [[nodiscard]] GateRelease tick(SteadyTime now) override;
    void setSlots(int slots) override;
    void setQueueTarget(Duration target) override;
    [[nodiscard]] LoadReport load(SteadyTime now) const override;

private:
    int m_slots{};
    std::set<ExecutionId> m_running;
};

} // namespace egretlatch::admission

#endif
