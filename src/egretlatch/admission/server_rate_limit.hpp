#ifndef EGRETLATCH_ADMISSION_SERVER_RATE_LIMIT_HPP
#define EGRETLATCH_ADMISSION_SERVER_RATE_LIMIT_HPP

#include <optional>

#include <egretlatch/core/clock.hpp>

namespace egretlatch::admission
{

/**
 * @brief Rate limit that the backend server named, as a token bucket.
 *
 * Every run that is started takes a token, whatever becomes of it, as the server counts arrivals.
 */
class ServerRateLimit
{
public:
    /**
     * @brief Sets or removes the limit; a bucket that is in use keeps its tokens.
     * @param perSecond Runs that may start per second; empty for no limit. Lower values than `minPerSecond` count as that.
     * @param now Current time.
     */
    void set(std::optional<double> perSecond, SteadyTime now);

    /**
     * @brief Checks if a run may start.
     * @param now Current time.
     * @return True if there is no limit, or a token is left.
     */
    [[nodiscard]] bool mayStart(SteadyTime now);

    /*! @brief Takes the token of a run that starts. */
    void noteStart();

    /*! @brief Returns the limit in runs per second; empty if there is none. */
    [[nodiscard]] std::optional<double> perSecond() const noexcept
    {
        return m_perSecond;
    }

    /*! @brief Runs per second that start at least: without any, nothing would show that the limit has ended. */
    static constexpr double minPerSecond = 0.2;

private:
    void refill(SteadyTime now);
    [[nodiscard]] double burst() const;

    std::optional<double> m_perSecond;
    double m_tokens{};
    SteadyTime m_refilledAt;
};

} // namespace egretlatch::admission

#endif
