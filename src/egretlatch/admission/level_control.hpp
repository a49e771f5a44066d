#ifndef EGRETLATCH_ADMISSION_LEVEL_CONTROL_HPP
#define EGRETLATCH_ADMISSION_LEVEL_CONTROL_HPP

#include <algorithm>
#include <map>

#include <egretlatch/admission/admission_queue.hpp>
#include <egretlatch/admission/level_times.hpp>
#include <egretlatch/admission/rank.hpp>
#include <egretlatch/core/clock.hpp>

namespace egretlatch::admission
{

/*! @brief What a gate sees of its load at one moment. */
struct QueueState
{
    const AdmissionQueue &line;
    /*! @brief Time in which the line should drain. */
    Duration target{};
    /*! @brief Requests run at a time. */
    int limit{};

    /**
     * @brief Gives how much too long it takes until some work has drained.
     * @param work Slot time.
     * @return 1 where it takes the time that is aimed at.
     */
    [[nodiscard]] double of(const Duration work) const
    {
        return std::chrono::duration<double>(work) / std::chrono::duration<double>(target) / std::max(1, limit);
    }
};

/**
 * @brief Moves the level of one backend server.
 *
 * Demand is counted as slot time asked for a second, and only of requests that the present level admits: requests that
 * were let in by an older level are still on their way while a new one spreads, and counting them would raise the level
 * again for an excess that has already been cut.
 */
class LevelControl
{
public:
    /**
     * @brief Builds a control that lets all pass.
     * @param times How fast it follows demand.
     */
    explicit LevelControl(const LevelTimes &times = {})
        : m_times{times}
    {
    }

    /**
     * @brief Counts a request that came to the gate, whatever becomes of it.
     * @param ticket The request.
     * @param slotTime Slot time that it is expected to take.
     * @param now Current time.
     */
    void noteArrival(const Ticket &ticket, Duration slotTime, SteadyTime now);

    /**
     * @brief Counts a request that was shed after the level had let it pass.
     *
     * Where the services above are full themselves, no more arrives than can be run, and yet what waits too long is shed:
     * demand alone does not show it.
     * @param ticket The request.
     * @param slotTime Slot time that it was expected to take.
     * @param now Current time.
     */
    void noteShed(const Ticket &ticket, Duration slotTime, SteadyTime now);

    /**
     * @brief Moves the level where a step is due.
     * @param pressure What the gate sees.
     * @param now Current time.
     */
    void update(const QueueState &pressure, SteadyTime now);

    [[nodiscard]] const Level &level() const noexcept
    {
        return m_level;
    }

    /**
     * @brief Gives what is asked for by requests that the level admits.
     * @param now Current time.
     * @return Slots that they would keep busy.
     */
    [[nodiscard]] double admittedDemand(SteadyTime now) const;

    /**
     * @brief Gives what was shed of inner calls that the level admits.
     * @param now Current time.
     * @return Slots that they would have kept busy.
     */
    [[nodiscard]] double shedRate(SteadyTime now) const;

private:
    struct Demand
    {
        /*! @brief Slot seconds asked for a second, decaying. */
        double rate{};
        SteadyTime updated;
        SteadyTime lastArrival;
    };

    void add(Demand &demand, Duration slotTime, SteadyTime now) const;
    void decay(Demand &demand, SteadyTime now) const;
    [[nodiscard]] double rateAt(const Demand &demand, SteadyTime now) const;
    [[nodiscard]] Duration stepInterval() const;
    [[nodiscard]] double roomInClass(const QueueState &pressure, SteadyTime now);
    void raise(double excess, const QueueState &pressure, SteadyTime now);
    void lower(double factor);
    void forgetIdle(SteadyTime now);

    LevelTimes m_times;
    Level m_level;
    std::map<RankClass, Demand> m_demand;
    /*! @brief Slot seconds shed a second of inner calls that the present level admits. */
    Demand m_shed;
    double m_openStep{};
    /*! @brief Time that requests have been under way from their entry to this gate, on average. */
    Duration m_underWay{};
    SteadyTime m_lastStep;
    SteadyTime m_lastOpening;
};

} // namespace egretlatch::admission

#endif
