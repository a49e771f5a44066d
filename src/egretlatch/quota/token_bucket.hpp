#ifndef EGRETLATCH_QUOTA_TOKEN_BUCKET_HPP
#define EGRETLATCH_QUOTA_TOKEN_BUCKET_HPP

#include <optional>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/quota/limit.hpp>

namespace egretlatch::quota
{

/*! @brief Token bucket whose level may become negative, as a debt that later refills pay. */
class TokenBucket
{
public:
    /**
     * @brief Refills the bucket up to now.
     * @param limit Rate of the refill, and the highest level.
     * @param initial Level at the first call.
     * @param now Current time.
     */
    void refill(const Limit &limit, double initial, SteadyTime now);

    /**
     * @brief Changes the level.
     * @param tokens Tokens to add; negative to take some, even beyond the level.
     */
    void add(const double tokens) noexcept
    {
        m_level += tokens;
    }

    [[nodiscard]] double level() const noexcept
    {
        return m_level;
    }

private:
    double m_level{};
    std::optional<SteadyTime> m_refilledAt;
};

} // namespace egretlatch::quota

#endif
