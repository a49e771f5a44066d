#ifndef EGRETLATCH_ADMISSION_STATIC_GATE_HPP
#define EGRETLATCH_ADMISSION_STATIC_GATE_HPP

#include <deque>

#include <egretlatch/admission/slot_gate.hpp>

namespace egretlatch::admission
{

/*! @brief Baseline with a static limit and a queue in order of arrival. */
class StaticGate final : public SlotGate
{
public:
    /**
     * @brief Creates a gate.
     * @param slots Number of slots.
     * @param queueCapacity Maximum number of queued requests.
     */
    StaticGate(int slots, std::size_t queueCapacity);

    [[nodiscard]] GateRelease offer(const Ticket &ticket, SteadyTime now) override;
    [[nodiscard]] bool withdraw(ExecutionId execution) override;
    [[nodiscard]] LoadReport load(SteadyTime now) const override;

private:
    [[nodiscard]] const Ticket *next() const override;
    void dropNext() override;
    [[nodiscard]] std::size_t queued() const override;

    std::size_t m_queueCapacity;
    std::deque<Ticket> m_waiting;
};

} // namespace egretlatch::admission

#endif
