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

    /**
     * @brief Sets how many retries may be saved up for a service; by default mostSaved.
     * @param mostSaved Their number.
     */
    void setMostSaved(double mostSaved);

    /**
     * @brief Notes a first attempt.
     * @param service Name of the service.
     * @param ratio Retries that one first attempt pays for.
     */
    void noteFirst(const std::string &service, double ratio);

    /**
     * @brief Pays for a retry.
     * @param service Name of the service.
     * @return True if the retry may be made.
     */
    [[nodiscard]] bool take(const std::string &service);

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
