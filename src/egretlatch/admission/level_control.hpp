#ifndef EGRETLATCH_ADMISSION_LEVEL_CONTROL_HPP
#define EGRETLATCH_ADMISSION_LEVEL_CONTROL_HPP

#include <map>

#include <egretlatch/admission/rank.hpp>
#include <egretlatch/core/clock.hpp>

namespace egretlatch::admission
{

/*! @brief What a gate sees of its load at one moment. */
struct Pressure
{
    /*! @brief Time until the queue has drained, as it is now. */
    Duration drainTime{};
    /*! @brief Drain time that is aimed at. */
    Duration target{};
    /*! @brief Requests run at a time. */
    int limit{};

    friend bool operator==(const Pressure &, const Pressure &) = default;
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
     * @brief Counts a request that came to the gate, whatever becomes of it.
     * @param rank Its rank.
     * @param root Its root.
     * @param slotTime Slot time that it is expected to take.
     * @param now Current time.
     */
    void noteArrival(const Rank &rank, const Uuid &root, Duration slotTime, SteadyTime now);

    /**
     * @brief Moves the level where a step is due.
     * @param pressure What the gate sees.
     * @param now Current time.
     */
    void update(const Pressure &pressure, SteadyTime now);

    [[nodiscard]] const Level &level() const noexcept
    {
        return m_level;
    }

private:
    struct Demand
    {
        /*! @brief Slot seconds asked for a second, decaying. */
        double rate{};
        SteadyTime updated;
        SteadyTime lastArrival;
    };

    void decay(Demand &demand, SteadyTime now) const;
    [[nodiscard]] double admittedDemand(SteadyTime now);
    [[nodiscard]] Duration stepInterval() const;
    void raise(double excess, SteadyTime now);
    void lower(double share);
    void forgetIdle(SteadyTime now);

    Level m_level;
    std::map<RankClass, Demand> m_demand;
    double m_openStep{};
    /*! @brief Time that requests have been under way from their entry to this gate, on average. */
    Duration m_underWay{};
    SteadyTime m_lastStep;
    SteadyTime m_lastOpening;
};

} // namespace egretlatch::admission

#endif
