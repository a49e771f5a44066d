#ifndef EGRETLATCH_ADMISSION_ROOT_COSTS_HPP
#define EGRETLATCH_ADMISSION_ROOT_COSTS_HPP

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <egretlatch/admission/slot_time_by_service.hpp>

namespace egretlatch::admission
{

/**
 * @brief Slot time that a root takes at each service of its chain, summed over all its inner calls there.
 *
 * Sent with the root's calls, so that a service ranks a root by its total cost there: a root with eight short calls is not
 * cheap because each call is. Services are identified by a 32-bit hash of their names to keep the messages small; if two
 * services have the same hash, the higher cost counts for both.
 */
class RootCosts
{
public:
    /*! @brief Cost at one service of the chain. */
    struct ServiceCost
    {
        std::uint32_t service{};
        Duration held{};

        friend auto operator<=>(const ServiceCost &, const ServiceCost &) = default;
    };

    RootCosts() = default;

    /**
     * @brief Creates the costs from the slot times of a chain.
     * @param chain Slot times by service.
     */
    explicit RootCosts(const SlotTimeByService &chain);

    /**
     * @brief Creates the costs from those received with a call.
     * @param costs The costs.
     */
    explicit RootCosts(std::vector<ServiceCost> costs)
        : m_costs{std::move(costs)}
    {
    }

    /**
     * @brief Returns the cost at a service.
     * @param service Name of the service.
     * @return The cost, or nothing if none is known.
     */
    [[nodiscard]] std::optional<Duration> at(const std::string &service) const;

    [[nodiscard]] const std::vector<ServiceCost> &costs() const noexcept
    {
        return m_costs;
    }

    friend bool operator==(const RootCosts &, const RootCosts &) = default;

private:
    std::vector<ServiceCost> m_costs;
};

} // namespace egretlatch::admission

#endif
