#ifndef EGRETLATCH_CONFIGURATION_CURRENCY_PROOF_HPP
#define EGRETLATCH_CONFIGURATION_CURRENCY_PROOF_HPP

#include <optional>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/store/store_time.hpp>

namespace egretlatch::configuration
{

/**
 * @brief Upper bound on the age of the configuration in force, for decisions that must not rest on a withdrawn one.
 *
 * A proof is a time of the store's clock up to which no newer configuration was accepted. As a point in time, not an age, it
 * stays true however long a message with it is held up, or its sender or receiver stands still. Each daemon bounds the present
 * time of that clock by its own exchanges with the store: the clock cannot have passed more time since an answer than has
 * passed here since the request.
 */
class CurrencyProof
{
public:
    /**
     * @brief Records a reading of the store's clock; the one with the shortest exchange gives the tightest bound.
     * @param reading The reading.
     */
    void noteClock(const store::ClockReading &reading);

    /**
     * @brief Records a proof for the configuration in force, from the store or from another daemon.
     * @param at Time up to which no newer configuration was accepted.
     */
    void note(store::StoreTime at);

    /*! @brief Returns the latest proof, to be passed on; nothing without one. */
    [[nodiscard]] std::optional<store::StoreTime> provenAt() const noexcept
    {
        return m_provenAt;
    }

    /**
     * @brief Returns the bound.
     * @param now Current time.
     * @return The greatest age that the configuration in force can have; nothing without a proof or a reading of the clock.
     */
    [[nodiscard]] std::optional<Duration> age(BootTime now) const;

private:
    /*! @brief Least known bound on the store's clock minus the boot clock. */
    std::optional<Duration> m_offset;
    std::optional<store::StoreTime> m_provenAt;
};

} // namespace egretlatch::configuration

#endif
