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
 * @brief Slot time that a root takes at each service of its chain, all its inner calls there taken together.
 *
 * Goes along with the root's calls, so that a service tells a root by what it costs there as a whole: one of eight short
 * calls is not cheap. Services go by a short hash of their names, since this is sent with each call; of two with the same
 * hash the dearer counts for both.
 */
class RootCosts
{
public:
    /*! @brief One service of the chain. */
    struct ServiceCost
    {
        std::uint32_t service{};
        Duration held{};

        friend auto operator<=>(const ServiceCost &, const ServiceCost &) = default;
    };

    RootCosts() = default;

    /**
     * @brief Takes the costs of a chain.
     * @param chain The chain.
     */
    explicit RootCosts(const SlotTimeByService &chain);

    /**
     * @brief Takes costs that came with a call.
     * @param stops The costs.
     */
    explicit RootCosts(std::vector<ServiceCost> costs)
        : m_stops{std::move(costs)}
    {
    }

    /**
     * @brief Gives the cost at a service.
     * @param service Name of the service.
     * @return Nothing if none is known.
     */
    [[nodiscard]] std::optional<Duration> at(const std::string &service) const;

    [[nodiscard]] const std::vector<ServiceCost> &costs() const noexcept
    {
        return m_stops;
    }

    friend bool operator==(const RootCosts &, const RootCosts &) = default;

private:
    std::vector<ServiceCost> m_stops;
};

} // namespace egretlatch::admission

#endif
