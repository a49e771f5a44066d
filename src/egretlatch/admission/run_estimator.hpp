#ifndef EGRETLATCH_ADMISSION_RUN_ESTIMATOR_HPP
#define EGRETLATCH_ADMISSION_RUN_ESTIMATOR_HPP

#include <map>
#include <string>

#include <egretlatch/core/clock.hpp>

namespace egretlatch::admission
{

/*! @brief Learns how long the runs of each kind hold a slot. */
class RunEstimator
{
public:
    /**
     * @brief Notes a run that gave an answer.
     * @param kind Its kind.
     * @param held Time that it held its slot.
     * @param now Current time.
     */
    void noteCompleted(const std::string &kind, Duration held, SteadyTime now);

    /**
     * @brief Notes a run that was cut short, so that only a lower bound is known.
     * @param kind Its kind.
     * @param held Time that it held its slot until then.
     * @param now Current time.
     */
    void noteAbandoned(const std::string &kind, Duration held, SteadyTime now);

    /**
     * @brief Gives the time that a run is expected to hold its slot.
     * @param kind Its kind.
     * @param declared Time to assume where nothing has been seen.
     * @return A moving average of what was seen.
     */
    [[nodiscard]] Duration expected(const std::string &kind, Duration declared) const;

    /**
     * @brief Gives a time that a run needs at the very least.
     *
     * It rests on the last second alone. A bound that stayed would refuse every request of a kind after a slow phase, no
     * run would be seen, and it would never be corrected.
     * @param kind Its kind.
     * @param now Current time.
     * @return The shortest run seen lately; zero where none was seen.
     */
    [[nodiscard]] Duration shortest(const std::string &kind, SteadyTime now) const;

private:
    struct Window
    {
        SteadyTime begin;
        Duration shortestEnded{Duration::max()};
        int ended{};
        Duration longestCutShort{};
    };

    struct Runs
    {
        Duration mean{};
        Window current;
        Window previous;
    };

    [[nodiscard]] Runs &runsOf(const std::string &kind, SteadyTime now);

    std::map<std::string, Runs> m_runs;
};

} // namespace egretlatch::admission

#endif
