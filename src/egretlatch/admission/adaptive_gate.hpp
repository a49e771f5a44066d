#ifndef EGRETLATCH_ADMISSION_ADAPTIVE_GATE_HPP
#define EGRETLATCH_ADMISSION_ADAPTIVE_GATE_HPP

#include <map>

#include <egretlatch/admission/admission_queue.hpp>
#include <egretlatch/admission/concurrency_limit.hpp>
#include <egretlatch/admission/gate.hpp>
#include <egretlatch/admission/gate_rules.hpp>
#include <egretlatch/admission/level_control.hpp>
#include <egretlatch/admission/run_estimator.hpp>

namespace egretlatch::admission
{

/**
 * @brief The gate of the whole design: a limit that adapts, a short queue in order of value, and a level for the entries.
 *
 * A free slot is never kept from a request that waits: the level is for the daemons further up, which refuse by it what
 * would not get a slot here. What comes all the same is put in order and the least valuable is refused.
 */
class AdaptiveGate final : public Gate
{
public:
    /**
     * @brief Builds a gate without slots.
     * @param rules What it may rely on, and whom it refuses.
     */
    explicit AdaptiveGate(const GateRules &rules = {});

    [[nodiscard]] GateRelease offer(const Ticket &ticket, SteadyTime now) override;
    [[nodiscard]] GateRelease finish(ExecutionId execution, const Observation &observation, SteadyTime now) override;
    [[nodiscard]] bool withdraw(ExecutionId execution) override;
    [[nodiscard]] GateRelease tick(SteadyTime now) override;
    void setSlots(int slots) override;
    void setQueueTarget(Duration target) override;
    [[nodiscard]] LoadReport load(SteadyTime now) const override;
    [[nodiscard]] std::vector<account::Figure> levelFigures(SteadyTime now) const override;

private:
    struct Running
    {
        std::string kind;
        Duration cost{};
    };

    [[nodiscard]] std::optional<GateRefusal> refusalOfHopeless(const Ticket &ticket, SteadyTime now) const;
    void dropHopeless(SteadyTime now, GateRelease &release);
    void startWaiting(SteadyTime now, GateRelease &release);
    void shedExcess(const Ticket *arrived, SteadyTime now, GateRelease &release);
    void shedOverdue(SteadyTime now, GateRelease &release);
    [[nodiscard]] GateRefusal refusalOf(const Waiting &waiting, bool hasJustArrived, SteadyTime now) const;
    [[nodiscard]] std::chrono::milliseconds retryAfter(const Ticket &ticket) const;
    [[nodiscard]] Duration drainTime() const;
    [[nodiscard]] Duration aimedDrainTime() const;
    [[nodiscard]] const Waiting *nextToShed() const;
    [[nodiscard]] Duration longestDrainTime(const Ticket &ticket) const;
    void noteEnd(const Running &running, const Observation &observation, bool wasSaturated, SteadyTime now);
    void moveLevel(SteadyTime now);

    GateRules m_rules;
    Duration m_queueTarget{std::chrono::milliseconds{20}};
    Duration m_meanHeld{};
    ConcurrencyLimit m_limit;
    LevelControl m_level;
    RunEstimator m_estimator;
    AdmissionQueue m_waiting;
    std::map<ExecutionId, Running> m_running;
};

} // namespace egretlatch::admission

#endif
