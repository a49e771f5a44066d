#ifndef EGRETLATCH_ADMISSION_CHAIN_COSTS_HPP
#define EGRETLATCH_ADMISSION_CHAIN_COSTS_HPP

#include <map>
#include <set>
#include <string>
#include <utility>

#include <egretlatch/core/clock.hpp>
#include <egretlatch/manifest/manifest.hpp>

namespace egretlatch::admission
{

/**
 * @brief What one request of each kind costs over its whole chain.
 *
 * A run holds its slot while its inner calls run, so a kind's slot time at its own service has its callees' in it.
 */
class ChainCosts
{
public:
    /**
     * @brief Works out the declared costs.
     * @param manifest The manifest in force.
     */
    void setManifest(const manifest::Manifest &manifest);

    /**
     * @brief Takes what a call of a kind cost.
     * @param service Service that was called.
     * @param kind Kind that was called.
     * @param slotTime Slot time of the call and all its inner calls.
     */
    void observe(const std::string &service, const std::string &kind, Duration slotTime);

    /**
     * @brief Gives a kind's worth for each second that it takes of a whole server of its bottleneck service.
     * @param service Service of the kind.
     * @param kind Name of the kind.
     * @return The density; zero for undeclared kinds.
     */
    [[nodiscard]] double worthDensity(const std::string &service, const std::string &kind) const;

    /**
     * @brief Gives the services that calls of a kind reach, its own left out.
     * @param service Service of the kind.
     * @param kind Name of the kind.
     * @return Names of the services.
     */
    [[nodiscard]] const std::set<std::string> &servicesBelow(const std::string &service, const std::string &kind) const;

private:
    using KindName = std::pair<std::string, std::string>;

    struct Chain
    {
        double worth{};
        /*! @brief Time that a run holds its own slot. */
        Duration held{};
        /*! @brief Slot time at all services together. */
        Duration total{};
        /*! @brief Slot time by service. */
        std::map<std::string, Duration> byService;
        std::set<std::string> below;
        /*! @brief Server time at the bottleneck service, in seconds. */
        double bottleneck{};
        /*! @brief Observed total over declared total. */
        double correction{1.0};
    };

    const Chain &chainOf(const manifest::Manifest &manifest, const KindName &name, std::set<KindName> &open);

    std::map<KindName, Chain> m_chains;
};

} // namespace egretlatch::admission

#endif
