#ifndef TEST_FAKES_MANUAL_CLOCK_HPP
#define TEST_FAKES_MANUAL_CLOCK_HPP

#include <egretlatch/core/clock.hpp>

namespace fakes
{

/*! @brief Clock that only advances when a test calls advance(). */
class ManualClock final : public egretlatch::Clock
{
public:
    [[nodiscard]] egretlatch::SteadyTime steadyNow() const override
    {
        return m_steady;
    }

    [[nodiscard]] egretlatch::WallTime wallNow() const override
    {
        return m_wall;
    }

    [[nodiscard]] egretlatch::BootTime bootNow() const override
    {
        return egretlatch::BootTime{m_steady.time_since_epoch() + m_suspended};
    }

    /**
     * @brief Lets time pass that the steady clock does not count, as while the machine is suspended.
     * @param span Duration of the suspension.
     */
    void suspend(const egretlatch::Duration span)
    {
        m_suspended += span;
        m_wall += std::chrono::duration_cast<egretlatch::WallTime::duration>(span);
    }

    /**
     * @brief Advances the steady time and the wall time.
     * @param span Duration to advance by.
     */
    void advance(const egretlatch::Duration span)
    {
        m_steady += span;
        m_wall += std::chrono::duration_cast<egretlatch::WallTime::duration>(span);
    }

private:
    egretlatch::SteadyTime m_steady{std::chrono::hours{1}};
    egretlatch::Duration m_suspended{};
    egretlatch::WallTime m_wall{std::chrono::milliseconds{1'790'000'000'000}};
};

} // namespace fakes

#endif
