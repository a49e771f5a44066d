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
 * @brief What one request of each kind costs at the services down its chain, as declared.
 *
 * A run holds its slot while its inner calls run, so the time that it holds has theirs in it.
 */
class ChainCosts
{
public:
    /**
     * @brief Works out the costs.
     * @param manifest The manifest in force.
     */
    void setManifest(const manifest::Manifest &manifest);

    /**
     * @brief Gives the time that a run holds a slot of its own service.
     * @param service Service of the kind.
     * @param kind Name of the kind.
     * @return The time; zero for undeclared kinds.
     */
    [[nodiscard]] Duration held(const std::string &service, const std::string &kind) const;

    /**
     * @brief Gives the services that a request of a kind holds slots of, with the longest time that one call holds one.
     * @param service Service of the kind.
     * @param kind Name of the kind.
     * @return Its own service and those down its chain.
     */
    [[nodiscard]] const SlotTimeByService &stops(const std::string &service, const std::string &kind) const;

    /**
     * @brief Gives the services that any kind of a service reaches, its own left out.
     * @param service Name of the service.
     * @return Names of the services.
     */
    [[nodiscard]] const std::set<std::string> &downstreamServices(const std::string &service) const;

private:
    struct Chain
    {
        Duration held{};
        SlotTimeByService stops;
    };

    const Chain &chainOf(const manifest::Manifest &manifest, const KindName &name, std::set<KindName> &open);

    std::map<KindName, Chain> m_chains;
    std::map<std::string, std::set<std::string>> m_below;
};

} // namespace egretlatch::admission

#endif
