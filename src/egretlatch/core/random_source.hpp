#ifndef EGRETLATCH_CORE_RANDOM_SOURCE_HPP
#define EGRETLATCH_CORE_RANDOM_SOURCE_HPP

#include <cstdint>
#include <random>

#include <egretlatch/core/clock.hpp>

namespace egretlatch
{

/*! @brief Source of random numbers; tests use a seeded one. */
class RandomSource
{
public:
    virtual ~RandomSource() = default;

    /**
     * @brief Draws 64 uniformly distributed bits.
     * @return The next number.
     */
    [[nodiscard]] virtual std::uint64_t next() = 0;

    /**
     * @brief Draws a number below a bound.
     * @param bound Exclusive upper bound; zero gives zero.
     * @return A number in [0, bound). The bias is below bound / 2^64.
     */
    [[nodiscard]] std::uint64_t below(const std::uint64_t bound)
    {
        return bound == 0 ? 0 : next() % bound;
    }

    /**
     * @brief Draws a duration below a bound.
     * @param bound Exclusive upper bound; zero gives zero.
     * @return A duration in [0, bound).
     */
    [[nodiscard]] Duration below(const Duration bound)
    {
        return Duration{static_cast<Duration::rep>(below(static_cast<std::uint64_t>(bound.count())))};
    }

    /**
     * @brief Draws a uniformly distributed floating-point number.
     * @return A number in [0, 1).
     */
    [[nodiscard]] double fraction()
    {
        constexpr int unusedBits = 11;
        constexpr double scale = 1.0 / 9007199254740992.0;
        return static_cast<double>(next() >> unusedBits) * scale;
    }
};

/*! @brief Pseudorandom source with a reproducible sequence. */
class SeededRandom final : public RandomSource
{
public:
    /**
     * @brief Seeds the generator.
     * @param seed The same seed gives the same sequence.
     */
    explicit SeededRandom(const std::uint64_t seed)
        : m_engine{seed}
    {
    }

    [[nodiscard]] std::uint64_t next() override
    {
        return m_engine();
    }

private:
    std::mt19937_64 m_engine;
};

} // namespace egretlatch

#endif
