#ifndef EGRETLATCH_ADMISSION_SLOT_GATE_HPP
#define EGRETLATCH_ADMISSION_SLOT_GATE_HPP

#include <set>

#include <egretlatch/admission/gate.hpp>

namespace egretlatch::admission
{

/*! @brief Base of the baseline gates with a static limit: one run per slot, the others queued in an order of the subclass. */
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
     * @brief Creates a gate.
     * @param slots Number of slots.
     */
    explicit SlotGate(int slots);

    /**
     * @brief Starts queued requests while slots are free, and refuses those whose deadline has passed.
     * @param now Current time.
     * @param release Receives the started and refused requests.
     */
    void startWaiting(SteadyTime now, GateRelease &release);

    /**
     * @brief Creates the refusal of a request for which the queue has no room.
     * @param execution The request.
     * @return The refusal.
     */
    [[nodiscard]] GateRefusal queueFull(ExecutionId execution) const;

    /*! @brief Returns the next request, or null for an empty queue. */
    [[nodiscard]] virtual const Ticket *next() const = 0;

    /*! @brief Removes the next request from the queue. */
    virtual void dropNext() = 0;

    /*! @brief Returns the number of queued requests. */
    [[nodiscard]] virtual std::size_t queued() const = 0;

private:
    int m_slots;
    std::set<ExecutionId> m_running;
};

} // namespace egretlatch::admission

#endif
