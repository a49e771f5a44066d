#ifndef EGRETLATCH_ADMISSION_ADAPTIVE_GATE_HPP
#define EGRETLATCH_ADMISSION_ADAPTIVE_GATE_HPP

#include <map>

#include <egretlatch/admission/admission_queue.hpp>
#include <egretlatch/admission/concurrency_limit.hpp>
#include <egretlatch/admission/gate.hpp>
#include <egretlatch/admission/gate_rules.hpp>
#include <egretlatch/admission/level_control.hpp>
#include <egretlatch/admission/run_estimator.hpp>
#include <egretlatch/admission/server_rate_limit.hpp>

namespace egretlatch::admission
{

/**
 * @brief Gate with an adaptive concurrency limit, a short queue ordered by value, and an admission level for entry daemons.
 *
 * A free slot is always given to a queued request, whatever the level: the level is meant for upstream daemons, which use
 * it to refuse requests that would not get a slot here. Requests that arrive anyway are queued by value, and the least
 * valuable are shed.
 */
class AdaptiveGate final : public Gate
{
public:
    /**
     * @brief Creates a gate without slots.
     * @param rules Assumptions about the server, and rules for shedding.
     */
    explicit AdaptiveGate(const GateRules &rules = {});

    [[nodiscard]] GateRelease offer(const Ticket &ticket, SteadyTime now) override;
    [[nodiscard]] GateRelease finish(ExecutionId execution, const Observation &observation, SteadyTime now) override;
    [[nodiscard]] bool withdraw(ExecutionId execution) override;
    [[nodiscard]] GateRelease tick(SteadyTime now) override;
    void setSlots(int slots) override;
    void setQueueTarget(Duration target) override;
    void setRateLimit(std::optional<double> perSecond, SteadyTime now) override;
    [[nodiscard]] LoadReport load(SteadyTime now) const override;
    [[nodiscard]] std::vector<account::Figure> levelFigures(SteadyTime now) const override;

private:
    struct Running
    {
        std::string kind;
        Duration cost{};
    };

    [[nodiscard]] std::optional<GateRefusal> refusalIfUnmeetable(const Ticket &ticket, SteadyTime now) const;
    void refuseUnmeetable(SteadyTime now, GateRelease &release);
    void startWaiting(SteadyTime now, GateRelease &release);
    void shedExcess(const Ticket *arrived, SteadyTime now, GateRelease &release);
    void shedOverdue(SteadyTime now, GateRelease &release);
    [[nodiscard]] GateRefusal refusalOf(const QueuedRequest &waiting, bool hasJustArrived, SteadyTime now) const;
    [[nodiscard]] std::chrono::milliseconds retryAfter(const Ticket &ticket) const;
    [[nodiscard]] double usableSlots() const;
    [[nodiscard]] int wholeUsableSlots() const;
    [[nodiscard]] Duration drainTimeOf(Duration work) const;
    [[nodiscard]] Duration drainTime() const;
    [[nodiscard]] Duration targetDrainTime() const;
    [[nodiscard]] const QueuedRequest *nextToShed() const;
    [[nodiscard]] Duration maxDrainTime(const Ticket &ticket) const;
    void noteRunEnd(const Running &running, const Observation &observation, bool wasSaturated, SteadyTime now);
    void updateLevel(SteadyTime now);

    GateRules m_rules;
    Duration m_queueTarget{std::chrono::milliseconds{20}};
    Duration m_meanHeld{};
    ConcurrencyLimit m_limit;
    ServerRateLimit m_rateLimit;
    LevelControl m_level;
    RunEstimator m_estimator;
    AdmissionQueue m_queue;
    std::map<ExecutionId, Running> m_running;
};

} // namespace egretlatch::admission

#endif
