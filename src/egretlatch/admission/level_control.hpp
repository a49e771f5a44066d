#ifndef EGRETLATCH_ADMISSION_LEVEL_CONTROL_HPP
#define EGRETLATCH_ADMISSION_LEVEL_CONTROL_HPP

#include <algorithm>
#include <map>
#include <optional>

#include <egretlatch/admission/admission_queue.hpp>
#include <egretlatch/admission/level_times.hpp>
#include <egretlatch/admission/rank.hpp>
#include <egretlatch/core/clock.hpp>

namespace egretlatch::admission
{

/*! @brief Snapshot of a gate's queue and limit. */
struct QueueState
{
    const AdmissionQueue &queue;
    /*! @brief Time in which the queue should drain. */
    Duration target{};
    /*! @brief Concurrency limit. */
    int limit{};

    /**
     * @brief Returns the drain time of some work relative to the target.
     * @param work Slot time.
     * @return 1 if the work drains in exactly the target time, more if it takes longer.
     */
    [[nodiscard]] double drainRatioOf(const Duration work) const
    {
        return std::chrono::duration<double>(work) / std::chrono::duration<double>(target) / std::max(1, limit);
    }
};

/**
 * @brief Adjusts the admission level of one backend server to its demand.
 *
 * Demand is measured as requested slot time per second, and only of requests that the current level admits: requests
 * admitted under an older level keep arriving while a new one propagates, and counting them would raise the level again for
 * an excess that has already been cut.
 */
class LevelControl
{
public:
    /**
     * @brief Creates a control that admits all requests.
     * @param times Time constants for following demand.
     */
    explicit LevelControl(const LevelTimes &times = {})
        : m_times{times}
    {
    }

    /**
     * @brief Counts a request that arrived at the gate, whatever its outcome.
     * @param ticket The request.
     * @param slotTime Expected slot time.
     * @param now Current time.
     */
    void noteArrival(const Ticket &ticket, Duration slotTime, SteadyTime now);

    /**
     * @brief Counts a request that was shed although the level admits it.
     *
     * If the upstream services are full themselves, no more requests arrive than can be run, and yet requests that wait too
     * long are shed. Demand alone does not show such an overload.
     * @param ticket The request.
     * @param slotTime Expected slot time of the request.
     * @param now Current time.
     */
    void noteShed(const Ticket &ticket, Duration slotTime, SteadyTime now);

    /**
     * @brief Adjusts the level if a step is due.
     * @param state State of the gate.
     * @param now Current time.
     */
    void update(const QueueState &state, SteadyTime now);

    [[nodiscard]] const Level &level() const noexcept
    {
        return m_level;
    }

    /**
     * @brief Returns the demand of the requests that the level admits.
     * @param now Current time.
     * @return Number of slots that they would keep busy.
     */
    [[nodiscard]] double admittedDemand(SteadyTime now) const;

    /**
     * @brief Returns the rate of shed inner calls that the level admits.
     * @param now Current time.
     * @return Number of slots that they would have kept busy.
     */
    [[nodiscard]] double shedRate(SteadyTime now) const;

private:
    struct Demand
    {
        /*! @brief Requested slot seconds per second, exponentially decayed. */
        double rate{};
        /*! @brief Demand of requests that were admitted recently and cannot have arrived yet. */
        double expected{};
        SteadyTime expectedFrom;
        /*! @brief Demand of the whole class, estimated while the level admitted part of it; empty if it never did. */
        std::optional<double> whole;
        SteadyTime updated;
        SteadyTime lastArrival;
    };

    void add(Demand &demand, Duration slotTime, SteadyTime now) const;
    void decay(Demand &demand, SteadyTime now) const;
    [[nodiscard]] double rateAt(const Demand &demand, SteadyTime now) const;
    [[nodiscard]] Duration stepInterval() const;
    void learnWholeDemand();
    void raise(double excess, const QueueState &state);
    void lower(double room, double unknownDemand, SteadyTime now);
    void lowerToNextClass();
    void eraseIdle(SteadyTime now);

    LevelTimes m_times;
    Level m_level;
    std::map<RankClass, Demand> m_demand;
    /*! @brief Shed slot seconds per second of inner calls that the current level admits. */
    Demand m_shed;
    /*! @brief Mean time between the entry of requests and their arrival at this gate, taken from their invested slot time. */
    Duration m_meanTimeToGate{};
    SteadyTime m_lastStep;
    SteadyTime m_lastLowered;
};

} // namespace egretlatch::admission

#endif
