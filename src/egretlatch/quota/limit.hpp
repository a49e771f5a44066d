#ifndef EGRETLATCH_QUOTA_LIMIT_HPP
#define EGRETLATCH_QUOTA_LIMIT_HPP

#include <egretlatch/core/clock.hpp>

namespace egretlatch::quota
{

/*! @brief Quota of a client account over all daemons together. */
struct Limit
{
    double ratePerSecond{};
    /*! @brief Requests beyond the rate that may come at once. */
    double burst{};

    friend bool operator==(const Limit &, const Limit &) = default;
};

/*! @brief Amount by which the requests of a window may exceed a quota. */
struct Rules
{
    Duration window{std::chrono::seconds{5}};
    /*! @brief Share of the quota of a window. */
    double overage{0.1};
    /*! @brief Requests beyond that share. */
    double slack{20.0};

    /**
     * @brief Returns the requests that a quota allows in a window.
     * @param limit The quota.
     */
    [[nodiscard]] double allowed(const Limit &limit) const
    {
        return limit.ratePerSecond * std::chrono::duration<double>(window).count() + limit.burst;
    }

    /**
     * @brief Returns the amount by which the requests of a window may exceed a quota.
     * @param limit The quota.
     */
    [[nodiscard]] double excess(const Limit &limit) const
    {
        return allowed(limit) * overage + slack;
    }

    friend bool operator==(const Rules &, const Rules &) = default;
};

} // namespace egretlatch::quota

#endif
