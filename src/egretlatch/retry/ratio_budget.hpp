#ifndef EGRETLATCH_RETRY_RATIO_BUDGET_HPP
#define EGRETLATCH_RETRY_RATIO_BUDGET_HPP

#include <map>
#include <string>

namespace egretlatch::retry
{

/**
 * @brief Bounds the retries towards a service by a ratio of the first attempts.
 *
 * The budget of a root bounds what one request costs; when a whole service fails, each root would still spend all of it
 * and the load would multiply. Here retries stay a small share, whatever the number of roots.
 */
class RatioBudget
{
public:
    /*! @brief Retries that may be saved up, so that a service with few calls can retry at all. */
    static constexpr double mostSaved = 10.0;
    /*! @brief Retries that a service may owe; what a second of a busy daemon can charge, so no debt outlasts its cause. */
    static constexpr double mostOwed = 100.0;

    /**
     * @brief Sets how many retries may be saved up for a service; by default mostSaved.
     * @param mostSaved Their number.
     */
    void setMaxSaved(double mostSaved);

    /**
     * @brief Notes a first attempt.
     * @param service Name of the service.
     * @param ratio Retries that one first attempt pays for.
     */
    void noteFirstAttempt(const std::string &service, double ratio);

    /**
     * @brief Pays for a retry.
     * @param service Name of the service.
     * @return True if the retry may be made.
     */
    [[nodiscard]] bool take(const std::string &service);

    /**
     * @brief Counts a repeat that is made whatever the bound says: a call of a run that is itself a repeat.
     *
     * Each service of a chain that loses answers would otherwise spend the whole bound at the one below it, and the
     * deepest would get as many times the bound as there are services above. Retries towards it stop until it is paid.
     * @param service Name of the service.
     */
    void charge(const std::string &service);

    /**
     * @brief Gives what may be spent now, for services that retries were made towards.
     * @return Retries left, by service.
     */
    [[nodiscard]] std::map<std::string, double> left() const;

private:
    double m_mostSaved{mostSaved};
    /*! @brief Retries spent and not yet earned back, by service; so a bound that is raised counts at once. */
    std::map<std::string, double> m_spent;
};

} // namespace egretlatch::retry

#endif
