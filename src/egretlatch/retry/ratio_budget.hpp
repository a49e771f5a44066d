#ifndef EGRETLATCH_RETRY_RATIO_BUDGET_HPP
#define EGRETLATCH_RETRY_RATIO_BUDGET_HPP

#include <cstddef>
#include <map>
#include <string>

namespace egretlatch::retry
{

/**
 * @brief Limits the retries to a service to a fraction of its first attempts.
 *
 * The attempt budget of a root request limits the cost of a single request. When a whole service fails, each root would
 * still spend its entire budget and multiply the load. This budget keeps retries a small share of the load, however many
 * roots there are.
 */
class RatioBudget
{
public:
    /*! @brief Default of the retries that may be saved up; allows retries to a rarely called service. */
    static constexpr double defaultMaxSaved = 10.0;
    /*! @brief Largest debt in retries: what a busy daemon can charge in a second, so that no debt outlasts its cause. */
    static constexpr double maxDebt = 100.0;

    /**
     * @brief Sets the number of retries that may be saved up for a service.
     * @param maxSaved Maximum number of retries; initially defaultMaxSaved.
     */
    void setMaxSaved(double maxSaved);

    /**
     * @brief Sets the number of retries that may be saved up to this daemon's part of the fleet's.
     *
     * Without any agreement between daemons each takes an equal part, so that the sum stays within the total. A part below one
     * retry is raised to one: no number of first attempts would ever earn a retry otherwise.
     * @param fleetSlack Retries that the whole fleet may make beyond its ratio.
     * @param daemons Known daemons, including this one. A daemon that knows no other would take too much, and takes nothing.
     */
    void setPartOfSlack(double fleetSlack, std::size_t daemons);

    /**
     * @brief Records a first attempt.
     * @param service Name of the service.
     * @param ratio Retries that one first attempt earns.
     */
    void noteFirstAttempt(const std::string &service, double ratio);

    /**
     * @brief Takes a retry from the budget.
     * @param service Name of the service.
     * @return True if the retry is allowed.
     */
    [[nodiscard]] bool take(const std::string &service);

    /**
     * @brief Charges a repeated call that is made regardless of the budget, because the run that makes it is itself a repeat.
     *
     * Without this, each service of a call chain that loses answers would spend its whole budget at the next service, and the
     * deepest would get as many times the budget as there are services above it. Retries to the service stop until the debt is
     * paid.
     * @param service Name of the service.
     */
    void charge(const std::string &service);

    /**
     * @brief Returns the remaining budgets of all services that calls were retried to.
     * @return Retries left, by service; negative for a debt.
     */
    [[nodiscard]] std::map<std::string, double> left() const;

private:
    double m_maxSaved{defaultMaxSaved};
    /*! @brief Retries spent and not yet earned back, by service. Storing these makes a raised limit effective at once. */
    std::map<std::string, double> m_spent;
};

} // namespace egretlatch::retry

#endif
