#include <egretlatch/admission/root_costs.hpp>

#include <xxhash.h>

namespace egretlatch::admission
{

namespace internal
{

[[nodiscard]] static std::uint32_t hashOf(const std::string &service)
{
    return XXH32(service.data(), service.size(), 0);
}

} // namespace internal

RootCosts::RootCosts(const SlotTimeByService &chain)
{
    m_costs.reserve(chain.size());
    for (const auto &[service, held] : chain) {
        m_costs.push_back({.service = internal::hashOf(service), .held = held});
    }
}

std::optional<Duration> RootCosts::at(const std::string &service) const
{
    std::optional<Duration> cost;
    const std::uint32_t hash = internal::hashOf(service);
    for (const ServiceCost &entry : m_costs) {
        if (entry.service == hash && (!cost.has_value() || entry.held > *cost)) {
            cost = entry.held;
        }
    }
    return cost;
}

} // namespace egretlatch::admission
