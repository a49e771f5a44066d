#ifndef EGRETLATCH_ADMISSION_RUN_ESTIMATOR_HPP
#define EGRETLATCH_ADMISSION_RUN_ESTIMATOR_HPP

#include <map>
#include <string>

#include <egretlatch/core/clock.hpp>

namespace egretlatch::admission
{

/*! @brief Estimates the time that runs of each kind hold a slot. */
class RunEstimator
{
public:
    /**
     * @brief Records a run that was answered.
     * @param kind Its kind.
     * @param held Time that it held its slot.
     * @param now Current time.
     */
    void noteCompleted(const std::string &kind, Duration held, SteadyTime now);

    /**
     * @brief Records an abandoned run, whose time is only a lower bound.
     * @param kind Its kind.
     * @param held Time that it held its slot until it was abandoned.
     * @param now Current time.
     */
    void noteAbandoned(const std::string &kind, Duration held, SteadyTime now);

    /**
     * @brief Returns the expected time that a run holds its slot.
     * @param kind Its kind.
     * @param declared Time to assume without observed runs.
     * @return The moving average of the observed times.
     */
    [[nodiscard]] Duration expected(const std::string &kind, Duration declared) const;

    /**
     * @brief Returns a lower bound of the time that a run needs.
     *
     * Only runs of the last second count. A lasting bound would refuse every request of a kind after a slow phase; without
     * new runs it would never be corrected.
     * @param kind Its kind.
     * @param now Current time.
     * @return The shortest recent run, reduced if there were few; zero without recent runs.
     */
    [[nodiscard]] Duration shortest(const std::string &kind, SteadyTime now) const;

private:
    struct Window
    {
        SteadyTime begin;
        Duration shortestCompleted{Duration::max()};
        int ended{};
        Duration longestAbandoned{};
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
