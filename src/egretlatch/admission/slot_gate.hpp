#ifndef EGRETLATCH_ADMISSION_SLOT_GATE_HPP
#define EGRETLATCH_ADMISSION_SLOT_GATE_HPP

#include <set>

#include <egretlatch/admission/gate.hpp>

namespace egretlatch::admission
{

/*! @brief What the baselines share: as many runs at a time as there are slots, the rest waits in an order of their own. */
class SlotGate : public Gate
{
public:
    [[nodiscard]] GateRelease finish(ExecutionId execution, const Observation &observation, SteadyTime now) override;
    [[nodiscard]] GateRelease tick(SteadyTime now) override;
    void setSlots(int slots) override;
    void setQueueTarget(Duration target) override;
    [[nodiscard]] LoadReport load(SteadyTime now) const override;

protected:
    /**
     * @brief Builds a gate.
     * @param slots Number of slots.
     */
    explicit SlotGate(int slots);

    /**
     * @brief Starts what waits while slots are free, and refuses what has waited past its deadline.
     * @param now Current time.
     * @param release Takes what was started and refused.
     */
    void startWaiting(SteadyTime now, GateRelease &release);

    /**
     * @brief Makes the refusal of a request for which the queue has no room.
     * @param execution The request.
     * @return The refusal.
     */
    [[nodiscard]] GateRefusal queueFull(ExecutionId execution) const;

    /*! @brief The request that is next; null with nothing waiting. */
    [[nodiscard]] virtual const Ticket *next() const = 0;

    /*! @brief Takes the request that is next out of the queue. */
    virtual void dropNext() = 0;

    /*! @brief Requests that wait. */
    [[nodiscard]] virtual std::size_t queued() const = 0;

private:
    int m_slots;
    std::set<ExecutionId> m_running;
};

} // namespace egretlatch::admission

#endif
