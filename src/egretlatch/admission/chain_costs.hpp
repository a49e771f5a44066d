#ifndef EGRETLATCH_ADMISSION_CHAIN_COSTS_HPP
#define EGRETLATCH_ADMISSION_CHAIN_COSTS_HPP

#include <map>
#include <set>
#include <string>

#include <egretlatch/admission/slot_time_by_service.hpp>
#include <egretlatch/manifest/manifest.hpp>

namespace egretlatch::admission
{

/**
 * @brief Declared slot time that one request of each kind takes at the services of its call chain.
 *
 * A run holds its slot while its inner calls run, so its slot time includes theirs.
 */
class ChainCosts
{
public:
    /**
     * @brief Computes the costs from a manifest.
     * @param manifest The manifest in force.
     */
    void setManifest(const manifest::Manifest &manifest);

    /**
     * @brief Returns the time that a run holds a slot of its own service.
     * @param service Service of the kind.
     * @param kind Name of the kind.
     * @return The time; zero for undeclared kinds.
     */
    [[nodiscard]] Duration held(const std::string &service, const std::string &kind) const;

    /**
     * @brief Returns the services at which a request of a kind holds slots, with the longest time that one call holds a
     * slot.
     * @param service Service of the kind.
     * @param kind Name of the kind.
     * @return Its own service and those downstream of it.
     */
    [[nodiscard]] const SlotTimeByService &slotTimes(const std::string &service, const std::string &kind) const;

    /**
     * @brief Returns the services that any kind of a service calls, directly or indirectly, without the service itself.
     * @param service Name of the service.
     * @return Names of the services.
     */
    [[nodiscard]] const std::set<std::string> &downstreamServices(const std::string &service) const;

private:
    struct Chain
    {
        Duration held{};
        SlotTimeByService slotTimes;
    };

    const Chain &chainOf(const manifest::Manifest &manifest, const KindName &name, std::set<KindName> &onPath);

    std::map<KindName, Chain> m_chains;
    std::map<std::string, std::set<std::string>> m_downstream;
};

} // namespace egretlatch::admission

#endif
